package requester

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	headerKey       = "Fescuethread-Key"
	headerOperation = "Fescuethread-Operation"
	headerOutcome   = "Fescuethread-Outcome"
	headerReason    = "Fescuethread-Reason"

	postBody = `{"lot":7,"bid":120}`
)

// sender sends the requests of one run.
type sender struct {
	cfg      Config
	client   *http.Client
	resolver *resolver
	tally    *tally
	turn     atomic.Uint64
}

func newSender(cfg Config, client *http.Client, t *tally) *sender {
	return &sender{cfg: cfg, client: client, resolver: newResolver(client, cfg, t), tally: t}
}

// send sends one request and counts it; latency is counted from the instant at which it was due.
func (s *sender) send(ctx context.Context, random *rand.Rand, due time.Time) {
	addresses, err := s.addresses(ctx, random)
	if err != nil {
		s.tally.add(kindGet, outcome{outcome: outcomeUnreachable, reason: "no host"}, 0)
		return
	}
	switch {
	case s.cfg.Mode == ModeLookup:
		url := "http://" + addresses[0] + lookupQuery(s.cfg)
		s.tally.add(kindLookup, s.exchange(ctx, http.MethodGet, url, ""), time.Since(due))
	case random.IntN(100) < s.cfg.Posts:
		s.post(ctx, addresses[0])
	default:
		s.tally.add(kindGet, s.get(ctx, addresses), time.Since(due))
	}
}

func (s *sender) addresses(ctx context.Context, random *rand.Rand) ([]string, error) {
	if s.cfg.Mode == ModeFollow {
		a, err := s.resolver.resolve(ctx)
		if err != nil {
			return nil, err
		}
		return a.order(random), nil
	}
	turn := s.turn.Add(1)
	return []string{s.cfg.Hosts[turn%uint64(len(s.cfg.Hosts))]}, nil
}

// get tries the next host only where the connection was refused.
func (s *sender) get(ctx context.Context, addresses []string) outcome {
	var o outcome
	for _, address := range addresses {
		o = s.exchange(ctx, http.MethodGet, s.url(address), "")
		if o.reason != reasonRefused {
			return o
		}
		s.tally.add(kindGet, o, 0)
	}
	return o
}

// post asks for an operation's identity and sends the operation with it once.
func (s *sender) post(ctx context.Context, address string) {
	var operation string
	if s.cfg.Mode != ModeDirect {
		var ok bool
		if operation, ok = s.issue(ctx, address); !ok {
			return
		}
	}
	start := time.Now()
	o := s.exchange(ctx, http.MethodPost, s.url(address), operation)
	s.tally.add(kindPost, o, time.Since(start))
}

func (s *sender) issue(ctx context.Context, address string) (string, bool) {
	q := url.Values{"service": {s.cfg.Service}, "method": {http.MethodPost}}
	url := "http://" + address + "/v1/operations?" + q.Encode()
	start := time.Now()
	resp, o := s.roundTrip(ctx, http.MethodPost, url, "")
	if resp == nil {
		s.tally.add(kindIssue, o, 0)
		return "", false
	}
	defer func() { _ = resp.Body.Close() }()
	var issued struct {
		Operation string `json:"operation"`
	}
	err := json.NewDecoder(resp.Body).Decode(&issued)
	s.tally.add(kindIssue, o, time.Since(start))
	return issued.Operation, err == nil && issued.Operation != ""
}

func (s *sender) url(address string) string {
	if s.cfg.Mode == ModeDirect {
		return "http://" + address + s.cfg.Path
	}
	return "http://" + address + "/v1/services/" + s.cfg.Service + s.cfg.Path
}

// exchange sends a request and reads the whole answer.
func (s *sender) exchange(ctx context.Context, method, url, operation string) outcome {
	resp, o := s.roundTrip(ctx, method, url, operation)
	if resp == nil {
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return unreachable(err)
	}
	return o
}

func (s *sender) roundTrip(
	ctx context.Context, method, url, operation string,
) (*http.Response, outcome) {
	connections := 0
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connections++ }}
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(postBody)
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, body)
	if err != nil {
		return nil, unreachable(err)
	}
	if s.cfg.Key != "" {
		req.Header.Set(headerKey, s.cfg.Key)
	}
	if operation != "" {
		req.Header.Set(headerOperation, operation)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		o := unreachable(err)
		o.resent = connections > 1
		return nil, o
	}
	o := outcomeOf(resp)
	o.resent = connections > 1
	return resp, o
}

// outcomeOf reads the outcome of an answer; an answer without one came from a target.
func outcomeOf(resp *http.Response) outcome {
	name := resp.Header.Get(headerOutcome)
	if name == "" {
		name = outcomeAnswered
	}
	return outcome{outcome: name, reason: resp.Header.Get(headerReason), status: resp.StatusCode}
}

const (
	reasonRefused = "connection refused"
	reasonTimeout = "timeout"
	reasonBroken  = "connection broken"
)

func unreachable(err error) outcome {
	o := outcome{outcome: outcomeUnreachable, reason: reasonBroken}
	var ne net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		o.reason = reasonRefused
	case errors.As(err, &ne) && ne.Timeout():
		o.reason = reasonTimeout
	}
	return o
}
