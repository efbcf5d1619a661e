package announcer

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/pacer"
	"github.com/fescuethread/fescuethread/timer"
)

// Receive reads datagrams until ctx ends.
func (a *Announcer) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = a.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := a.conn.ReadFromUDP(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			a.log.Log(eventReceiveFailed, logger.F("cause", err.Error()))
			if (pacer.Clock{}).Sleep(ctx, HeartbeatInterval) != nil {
				return nil
			}
			continue
		}
		a.handle(buf[:n])
	}
}

// recoverDatagram logs a panic in the handling of a datagram; the next ones are handled.
func (a *Announcer) recoverDatagram() {
	if recovered := recover(); recovered != nil {
		a.log.Log(eventReceiveFailed, logger.F("cause", fmt.Sprint(recovered)))
	}
}

func (a *Announcer) handle(data []byte) {
	defer a.recoverDatagram()
	var d messenger.Datagram
	if err := proto.Unmarshal(data, &d); err != nil {
		a.log.Log(eventReceiveFailed, logger.F("cause", err.Error()))
		return
	}
	now := timer.Now()
	switch {
	case d.GetBeat() != nil:
		a.handleHeartbeat(now, d.GetBeat())
	case d.GetPlea() != nil:
		a.handler.HandleTokenRequest(now, d.GetPlea())
	case d.GetGift() != nil:
		a.handler.HandleTokenTransfer(now, d.GetGift())
	}
}

func (a *Announcer) handleHeartbeat(now timer.Instant, b *messenger.Beat) {
	digests := b.GetDigests()
	b.Digests = nil
	if !a.roster.record(now, b) {
		return
	}
	a.handler.HandleHeartbeat(now, a.echoSentAt(b.GetEcho()), b)
	p, _ := a.roster.Find(b.GetHost())
	for _, d := range digests {
		if zone, newer := a.roster.recordDigest(now, d, entryOf(a.self, p.Member, d)); newer {
			a.handler.HandleDigest(now, zone, d)
		}
	}
}
