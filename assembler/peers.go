package assembler

import (
	"context"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/connector"
	"github.com/fescuethread/fescuethread/enforcer"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/watcher"
)

// peers calls other hosts by name, at the addresses that the inventory gives.
type peers struct {
	pool     *connector.Pool
	enforcer *enforcer.Enforcer
}

func (p *peers) address(host string) (string, error) {
	inv := p.enforcer.Inventory()
	if inv != nil {
		if h, ok := inv.Host(host); ok {
			return h.Peer, nil
		}
	}
	cause := errors.Errorf("the inventory names no host %q", host)
	return "", &Error{Op: "call", Kind: KindPeer, Err: cause}
}

// Gossip exchanges heartbeats with a host.
func (p *peers) Gossip(
	ctx context.Context, host string, in *messenger.Digest,
) (*messenger.Digest, error) {
	address, err := p.address(host)
	if err != nil {
		return nil, err
	}
	return p.pool.Gossip(ctx, address, in)
}

// Borrow asks a host for loans.
func (p *peers) Borrow(
	ctx context.Context, host string, in *messenger.LoanRequest,
) (*messenger.LoanReply, error) {
	address, err := p.address(host)
	if err != nil {
		return nil, err
	}
	return p.pool.Borrow(ctx, address, in)
}

// Adopt asks a host to take over operations.
func (p *peers) Adopt(
	ctx context.Context, host string, in *messenger.Handover,
) (*messenger.HandoverReply, error) {
	address, err := p.address(host)
	if err != nil {
		return nil, err
	}
	return p.pool.Adopt(ctx, address, in)
}

// Fetch asks a host, or a seed address, for a document at or above a version.
func (p *peers) Fetch(
	ctx context.Context, host string, least watcher.Version,
) (watcher.Document, error) {
	address, err := p.address(host)
	if err != nil {
		address = host
	}
	d, err := p.pool.Fetch(ctx, address, &messenger.DocumentQuery{
		Name: least.Name, Version: least.Version,
	})
	if err != nil {
		return watcher.Document{}, err
	}
	return watcher.Document{
		Name:    d.GetName(),
		Version: d.GetVersion(),
		Change:  d.GetChange(),
		Body:    d.GetBody(),
	}, nil
}
