package requester

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// lookupHost is one entry host of a look-up's answer.
type lookupHost struct {
	Address string `json:"address"`
	Rank    int    `json:"rank"`
	Weight  int    `json:"weight"`
}

// lookupAnswer is a look-up's answer; its lifetime is in milliseconds.
type lookupAnswer struct {
	Lifetime int64        `json:"lifetime"`
	Hosts    []lookupHost `json:"hosts"`
}

// resolver keeps the newest look-up's answer for its lifetime.
type resolver struct {
	client *http.Client
	hosts  []string
	query  string
	tally  *tally

	mu      sync.Mutex
	answer  lookupAnswer
	expires time.Time
}

func newResolver(client *http.Client, cfg Config, t *tally) *resolver {
	return &resolver{client: client, hosts: cfg.Hosts, query: lookupQuery(cfg), tally: t}
}

func lookupQuery(cfg Config) string {
	q := url.Values{"service": {cfg.Service}}
	if cfg.Place != "" {
		q.Set("place", cfg.Place)
	}
	return "/v1/lookup?" + q.Encode()
}

// resolve returns the answer in force, asking again once its lifetime has passed.
func (r *resolver) resolve(ctx context.Context) (lookupAnswer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.expires) {
		return r.answer, nil
	}
	for _, host := range r.known() {
		sent := time.Now()
		a, err := r.ask(ctx, host)
		if err != nil || len(a.Hosts) == 0 {
			continue
		}
		r.answer = a
		r.expires = sent.Add(time.Duration(a.Lifetime) * time.Millisecond)
		return a, nil
	}
	return lookupAnswer{}, &Error{Op: "resolve", Kind: KindLookup, Err: errors.New("no host")}
}

// known returns the hosts to ask: those of the last answer, then those of the settings.
func (r *resolver) known() []string {
	var hosts []string
	for _, h := range r.answer.Hosts {
		hosts = append(hosts, h.Address)
	}
	return append(hosts, r.hosts...)
}

func (r *resolver) ask(ctx context.Context, host string) (lookupAnswer, error) {
	var a lookupAnswer
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+r.query, nil)
	if err != nil {
		return a, err
	}
	start := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		r.tally.add(kindLookup, unreachable(err), 0)
		return a, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		r.tally.add(kindLookup, outcomeOf(resp), time.Since(start))
		return a, errors.Errorf("status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return a, err
	}
	r.tally.add(kindLookup, outcomeOf(resp), time.Since(start))
	return a, nil
}

// order returns the addresses to try: one of the lowest rank drawn by weight, then the others.
func (a lookupAnswer) order(random *rand.Rand) []string {
	first := a.draw(random)
	addresses := []string{a.Hosts[first].Address}
	for i, h := range a.Hosts {
		if i != first {
			addresses = append(addresses, h.Address)
		}
	}
	return addresses
}

func (a lookupAnswer) draw(random *rand.Rand) int {
	total := 0
	for _, h := range a.Hosts {
		if h.Rank == a.Hosts[0].Rank {
			total += max(h.Weight, 1)
		}
	}
	left := random.IntN(total)
	for i, h := range a.Hosts {
		if h.Rank != a.Hosts[0].Rank {
			continue
		}
		left -= max(h.Weight, 1)
		if left < 0 {
			return i
		}
	}
	return 0
}
