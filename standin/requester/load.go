package requester

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// lookupTTL is how long a worker uses the addresses from the directory.
const lookupTTL = time.Second

// Load describes a constant rate of requests.
type Load struct {
	// Directories are the addresses of directories, which are tried in random order.
	Directories []string
	// Zone is the callers' availability zone.
	Zone string
	// Request is the template of the requests; ID and Object are set for each.
	Request Request
	// Objects is the number of different affinity keys; 0 sends none.
	Objects int
	// Rate is the number of requests per second.
	Rate float64
	// Duration is how long to send requests.
	Duration time.Duration
	// Workers is the maximum number of concurrent requests; as many may be queued.
	Workers int
	// Seed is the seed of the random choice of affinity keys, directories and addresses.
	Seed uint64
}

// Report is the result of a load.
type Report struct {
	// Sent is the number of requests attempted, including those whose directory lookup failed;
	// Dropped is the number not attempted because the queue was full.
	Sent    int `json:"sent"`
	Dropped int `json:"late"`
	// Responses is the number of responses by status code; 0 counts requests without a complete one.
	Responses map[int]int `json:"answers"`
	// Median and P99 are percentiles of the latency of successful requests, in milliseconds.
	Median float64 `json:"p50"`
	P99    float64 `json:"p99"`
}

// tally collects the results of all workers.
type tally struct {
	mu        sync.Mutex
	report    Report
	latencies []time.Duration
}

func (t *tally) add(status int, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Sent++
	t.report.Responses[status]++
	if status >= 200 && status <= 299 {
		t.latencies = append(t.latencies, latency)
	}
}

func (t *tally) drop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Dropped++
}

func (t *tally) finish() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	sort.Slice(t.latencies, func(i, j int) bool { return t.latencies[i] < t.latencies[j] })
	t.report.Median, t.report.P99 = t.quantile(0.5), t.quantile(0.99)
	return t.report
}

func (t *tally) quantile(q float64) float64 {
	if len(t.latencies) == 0 {
		return 0
	}
	d := t.latencies[int(q*float64(len(t.latencies)-1))]
	return float64(d.Microseconds()) / 1000
}

// Run sends the load until its duration or ctx ends, and waits for requests in flight.
func Run(ctx context.Context, l Load) Report {
	t := &tally{report: Report{Responses: map[int]int{}}}
	queue := make(chan int, l.Workers)
	var workers sync.WaitGroup
	for i := range l.Workers {
		workers.Add(1)
		go func() {
			defer workers.Done()
			runWorker(ctx, l, t, uint64(i), queue)
		}()
	}
	schedule(ctx, l, t, queue)
	close(queue)
	workers.Wait()
	return t.finish()
}

func runWorker(ctx context.Context, l Load, t *tally, number uint64, queue <-chan int) {
	rng := rand.New(rand.NewPCG(l.Seed, number))
	w := &worker{load: l, tally: t, caller: NewCaller(), rng: rng}
	defer w.caller.Close()
	for n := range queue {
		w.send(context.WithoutCancel(ctx), n)
	}
}

// schedule queues request numbers at the rate of the load; if the queue is full, it drops them.
func schedule(ctx context.Context, l Load, t *tally, queue chan<- int) {
	ctx, cancel := context.WithTimeout(ctx, l.Duration)
	defer cancel()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / l.Rate))
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		select {
		case queue <- n:
		default:
			t.drop()
		}
	}
}

// worker sends requests one after the other.
type worker struct {
	load       Load
	tally      *tally
	caller     *Caller
	rng        *rand.Rand
	addresses  []string
	lookedUpAt time.Time
}

func (w *worker) send(ctx context.Context, n int) {
	q := w.load.Request
	q.ID = fmt.Sprintf("%s-%d-%d", w.load.Zone, w.load.Seed, n)
	if w.load.Objects > 0 {
		q.Object = fmt.Sprintf("object-%d", w.rng.IntN(w.load.Objects))
	}
	started := time.Now()
	address, err := w.address(ctx, q.Host)
	if err != nil {
		w.tally.add(0, 0)
		return
	}
	resp, err := w.caller.Send(ctx, address, q)
	if err != nil {
		w.addresses = nil
	}
	w.tally.add(resp.Status, time.Since(started))
}

// address returns a random address from the latest lookup, which it repeats after lookupTTL.
func (w *worker) address(ctx context.Context, name string) (string, error) {
	if len(w.addresses) == 0 || time.Since(w.lookedUpAt) > lookupTTL {
		if err := w.lookup(ctx, name); err != nil {
			return "", err
		}
	}
	return w.addresses[w.rng.IntN(len(w.addresses))], nil
}

// lookup asks the directories in random order until one returns an address.
func (w *worker) lookup(ctx context.Context, name string) error {
	cause := errors.New("no directory returned an address")
	for _, i := range w.rng.Perm(len(w.load.Directories)) {
		addresses, err := w.caller.Lookup(ctx, w.load.Directories[i], name, w.load.Zone)
		if err != nil {
			cause = err
			continue
		}
		if len(addresses) > 0 {
			w.addresses, w.lookedUpAt = addresses, time.Now()
			return nil
		}
	}
	return &Error{Op: "lookup", Kind: KindUnreachable, Err: cause}
}
