package conductor

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"github.com/fescuethread/fescuethread/connector"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/rationer"
	"github.com/fescuethread/fescuethread/server"
)

// metricsListener is the name of the listener of metrics.
const metricsListener = "metrics"

func (h *Host) listen(ctx context.Context) error {
	callers, err := server.Listen(ctx, server.Config{
		Address:             h.settings.Listen.Callers,
		MaxBodyBytes:        defaultMaxBodyBytes,
		MaxHeaderBytes:      defaultMaxHeaderBytes,
		MaxWriteBufferBytes: maxResponseBytes,
		Descriptors:         h.descriptors.callers,
		Refusals:            h.descriptors.refusals,
		IdleTimeout:         defaultIdleTimeout + idleMargin,
		CurrentLimits:       h.callerLimits,
		Requests:            h.requests,
		Responses:           h.responses,
		OnPanic:             h.logPanic,
		OnAcceptError:       h.logAcceptError("callers"),
		OnAbort:             requestsAborted.Inc,
	}, h.steerer)
	if err != nil {
		return err
	}
	h.callerServer = callers
	h.descriptors.callers.OnYield(callers.CloseIdle)
	if h.peerServer, err = connector.Listen(ctx, h.self.PeerAddress, h.peerConfig()); err != nil {
		return err
	}
	err = h.listenAux(
		ctx, "ready", h.settings.Listen.Ready, h.descriptors.ready, directory{h})
	if err != nil {
		return err
	}
	err = h.listenAux(
		ctx, "directory", h.settings.Listen.Directory, h.descriptors.directory, directory{h})
	if err != nil || h.settings.Listen.Metrics == 0 {
		return err
	}
	address := net.JoinHostPort(h.settings.Host.Address, strconv.Itoa(h.settings.Listen.Metrics))
	return h.listenAux(
		ctx, metricsListener, address, h.descriptors.metrics, http.HandlerFunc(serveMetrics))
}

func serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WritePrometheus(w, true)
}

func (h *Host) listenAux(
	ctx context.Context, name, address string, use *rationer.Use, handler http.Handler,
) error {
	s, err := server.Listen(ctx, server.Config{
		Address:             address,
		MaxBodyBytes:        maxAuxBodyBytes,
		MaxHeaderBytes:      maxAuxHeaderBytes,
		MaxWriteBufferBytes: maxAuxResponseBytes,
		Descriptors:         use,
		Refusals:            h.descriptors.refusals,
		IdleTimeout:         defaultIdleTimeout,
		Requests:            h.requests,
		Responses:           h.responses,
		OnPanic:             h.logPanic,
		OnAcceptError:       h.logAcceptError(name),
	}, handler)
	if err != nil {
		return err
	}
	h.auxServers[name] = s
	use.OnYield(s.CloseIdle)
	return nil
}

// logPanic logs an unexpected error in the handling of a request.
func (h *Host) logPanic(recovered interface{}) {
	h.log.Log(eventPanic, logger.F("cause", fmt.Sprint(recovered)),
		logger.F("stack", string(debug.Stack())))
}

// callerLimits returns the current configuration's limits on callers' requests.
func (h *Host) callerLimits() server.Limits {
	limits := server.Limits{
		MaxBodyBytes:   defaultMaxBodyBytes,
		MaxHeaderBytes: defaultMaxHeaderBytes,
		HeaderTimeout:  defaultHeaderTimeout,
	}
	p := h.follower.Plan()
	if p == nil {
		return limits
	}
	l := p.Limits()
	if l.MaxBodyBytes > 0 {
		limits.MaxBodyBytes = l.MaxBodyBytes
	}
	if l.MaxHeaderBytes > 0 {
		limits.MaxHeaderBytes = l.MaxHeaderBytes
	}
	if l.HeaderTimeout > 0 {
		limits.HeaderTimeout = l.HeaderTimeout
	}
	return limits
}
