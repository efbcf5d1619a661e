package assembler

import (
	"context"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// peerHandler answers the calls of other hosts.
type peerHandler struct {
	host *Host
}

// Forward runs a request that a peer passes on.
func (p *peerHandler) Forward(
	ctx context.Context, in *messenger.Request,
) (*messenger.Reply, error) {
	return p.host.carrier.Forward(ctx, in)
}

// Gossip takes a peer's heartbeats and answers with this host's.
func (p *peerHandler) Gossip(
	_ context.Context, in *messenger.Digest,
) (*messenger.Digest, error) {
	return p.host.detector.Receive(timer.Now(), in.GetFrom(), in), nil
}

// Fetch answers with a configuration document.
func (p *peerHandler) Fetch(
	_ context.Context, in *messenger.DocumentQuery,
) (*messenger.Document, error) {
	d, ok := p.host.shelf.Newest(in.GetName())
	if !ok || d.Version < in.GetVersion() {
		return nil, errors.Errorf("no %s at version %d or above", in.GetName(), in.GetVersion())
	}
	return &messenger.Document{
		Name: d.Name, Version: d.Version, Change: d.Change, Body: d.Body,
	}, nil
}

// Borrow answers a peer's request for shares.
func (p *peerHandler) Borrow(
	_ context.Context, in *messenger.LoanRequest,
) (*messenger.LoanReply, error) {
	return p.host.limiter.Lend(in)
}

// Adopt takes over the operations of a leaving host.
func (p *peerHandler) Adopt(
	_ context.Context, in *messenger.Handover,
) (*messenger.HandoverReply, error) {
	err := p.host.registry.Adopt(timer.Now(), in.GetRegistry())
	if err != nil {
		return &messenger.HandoverReply{}, nil
	}
	p.host.log.Log(eventAdopted, logger.F("from", in.GetHost()))
	return &messenger.HandoverReply{Adopted: true}, nil
}
