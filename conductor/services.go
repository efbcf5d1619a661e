package conductor

import (
	"context"

	"github.com/fescuethread/fescuethread/follower"
	"github.com/fescuethread/fescuethread/launcher"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/relayer"
)

// serviceFunc adapts a function to launcher.Service.
type serviceFunc func(ctx context.Context) error

// Run implements launcher.Service.
func (f serviceFunc) Run(ctx context.Context) error {
	return f(ctx)
}

func (h *Host) registerServices(context.Context) error {
	services := []struct {
		name    string
		service launcher.Service
	}{
		{"timer", h.timer},
		{"callers", h.callerServer},
		{"plan", h.follow(follower.SubjectPlan)},
		{"targets", h.follow(follower.SubjectTargets)},
		{"evacuations", h.follow(follower.SubjectEvacuations)},
		{"hosts", h.follow(follower.SubjectHosts)},
		{"datagrams", serviceFunc(h.announcer.Receive)},
		{"peers", serviceFunc(func(ctx context.Context) error {
			return h.peerServer.Serve(ctx, relayer.NewHandler(h.follower))
		})},
		{"heartbeats", serviceFunc(h.announce)},
		{"registration", serviceFunc(h.keepRegistered)},
		{"roster", serviceFunc(h.maintainRoster)},
		{"housekeeping", serviceFunc(h.runHousekeeping)},
		{"shares", serviceFunc(h.requestTokens)},
		{"stop", serviceFunc(h.handleStop)},
	}
	for name, s := range h.auxServers {
		var service launcher.Service = s
		if name == metricsListener {
			service = h.optional(name, s)
		}
		services = append(services, struct {
			name    string
			service launcher.Service
		}{name, service})
	}
	for _, s := range services {
		if err := h.kernel.Register(s.name, s.service); err != nil {
			return err
		}
	}
	return nil
}

// optional returns a service whose failure is logged instead of ending the host, which serves
// callers without it.
func (h *Host) optional(name string, s launcher.Service) serviceFunc {
	return func(ctx context.Context) error {
		err := s.Run(ctx)
		if err != nil && ctx.Err() == nil {
			h.log.Log(eventServiceFailed, logger.F("service", name), logger.F("cause", err.Error()))
			<-ctx.Done()
		}
		return nil
	}
}

func (h *Host) follow(s follower.Subject) serviceFunc {
	return func(ctx context.Context) error { return h.follower.Follow(ctx, s) }
}
