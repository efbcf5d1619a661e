package requester

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Run sends requests until the count, the duration or ctx ends, and waits for those in flight.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if err := cfg.validate(); err != nil {
		return Report{}, err
	}
	start := time.Now()
	t := newTally(start)
	if cfg.Mode == ModeIdle {
		err := hold(ctx, cfg, t)
		return t.report(time.Now()), err
	}
	transport := &http.Transport{
		MaxIdleConns:        cfg.Connections,
		MaxIdleConnsPerHost: cfg.Connections,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: cfg.Timeout}
	s := newSender(cfg, client, t)
	due := make(chan time.Time, cfg.Connections)
	var workers sync.WaitGroup
	for i := range cfg.Connections {
		workers.Add(1)
		go func() {
			defer workers.Done()
			work(ctx, s, uint64(i), due)
		}()
	}
	schedule(ctx, cfg, t, due)
	close(due)
	workers.Wait()
	return t.report(time.Now()), nil
}

func work(ctx context.Context, s *sender, worker uint64, due <-chan time.Time) {
	random := rand.New(rand.NewPCG(s.cfg.Seed, worker))
	for at := range due {
		if at.IsZero() {
			at = time.Now()
		}
		s.send(context.WithoutCancel(ctx), random, at)
	}
}

// schedule hands out the requests; the zero time stands for one that is due once a worker is free.
func schedule(ctx context.Context, cfg Config, t *tally, due chan<- time.Time) {
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	for i := range cfg.Count {
		if cfg.Rate > 0 {
			after := time.Duration(float64(i) / cfg.Rate * float64(time.Second))
			if !sleepUntil(ctx, t.start.Add(after)) {
				return
			}
			select {
			case due <- time.Now():
			default:
				t.drop()
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case due <- time.Time{}:
		}
	}
}

// sleepUntil reports false when ctx ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
