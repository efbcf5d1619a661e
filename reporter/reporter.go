package reporter

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/VictoriaMetrics/metrics"
)

// Source gives what the reporter shows.
type Source interface {
	// Ready returns an empty string when the host can serve, and otherwise the reason.
	Ready() string
	// Status returns the host's state.
	Status() Status
	// Explain returns the signals, the rule and the outcome for a hypothetical request.
	Explain(q url.Values) (Explanation, error)
}

// Reporter is the handler of the operators' port.
type Reporter struct {
	source Source
}

// New returns a reporter.
func New(source Source) *Reporter {
	return &Reporter{source: source}
}

// ServeHTTP serves an operator.
func (p *Reporter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/metrics":
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WritePrometheus(w, true)
	case "/health":
		writeText(w, http.StatusOK, "healthy\n")
	case "/ready":
		p.serveReady(w)
	case "/status":
		writeJSON(w, http.StatusOK, p.source.Status())
	case "/explain":
		p.serveExplain(w, r)
	default:
		writeText(w, http.StatusNotFound, "no such page\n")
	}
}

func (p *Reporter) serveReady(w http.ResponseWriter) {
	if reason := p.source.Ready(); reason != "" {
		writeText(w, http.StatusServiceUnavailable, reason+"\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

func (p *Reporter) serveExplain(w http.ResponseWriter, r *http.Request) {
	e, err := p.source.Explain(r.URL.Query())
	if err != nil {
		writeText(w, http.StatusBadRequest, err.Error()+"\n")
		return
	}
	writeJSON(w, http.StatusOK, e)
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}

func writeJSON(w http.ResponseWriter, status int, v interface{}) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}
