package conductor

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/rationer"
	"github.com/fescuethread/fescuethread/timer"
)

const (
	// ownFiles is the number of descriptors that are kept for files.
	ownFiles = 200
	// ownSockets is the number of descriptors that are kept for listeners, event loops and datagrams,
	// and for the second one that each new connection has for a moment.
	ownSockets = 64
	// shortageInterval is the shortest time between two lines about a shortage.
	shortageInterval = time.Second
)

// descriptors are the uses of the process's file descriptors.
type descriptors struct {
	rationer *rationer.Rationer
	// limit is the number of descriptors that the process may have.
	limit                              int
	callers, directory, ready, metrics *rationer.Use
	// refusals are connections to any of these listeners that are open only to be refused.
	refusals *rationer.Use
	// peers are connections that other hosts have opened, dials those to them.
	peers, dials   *rationer.Use
	store, targets *rationer.Use

	// logged holds the usages of the latest line about a shortage, which was logged at loggedAt.
	logged   []rationer.Usage
	loggedAt timer.Instant
}

// newDescriptors divides the descriptors of a process that may have at most files; 0 means that
// only its own limit holds. Callers and look-ups share what the others leave. Idle connections to
// the directory give way first, then idle callers, then new callers.
func newDescriptors(files int) *descriptors {
	limit := descriptorLimit(files)
	total := max(limit-ownFiles-ownSockets, limit/2)
	r := rationer.New(total)
	d := &descriptors{
		rationer: r,
		limit:    limit,
		callers: r.Use(rationer.Config{
			Name: "callers", Reserve: total / 4, Spare: total / 16,
		}),
		directory: r.Use(rationer.Config{
			Name: "directory", Reserve: min(total/16, 64), Spare: total / 4,
		}),
		ready: r.Use(rationer.Config{
			Name: "ready", Reserve: min(total/64, 32), Limit: 64,
		}),
		metrics: r.Use(rationer.Config{
			Name: "metrics", Reserve: min(total/64, 8), Limit: 16,
		}),
		refusals: r.Use(rationer.Config{
			Name: "refusals", Reserve: min(total/16, 128), Limit: max(min(total/16, 128), 1),
		}),
		peers:   r.Use(rationer.Config{Name: "peers", Reserve: min(total/32, 64)}),
		dials:   r.Use(rationer.Config{Name: "dials", Reserve: min(total/32, 64)}),
		store:   r.Use(rationer.Config{Name: "store", Reserve: min(total/16, 64)}),
		targets: r.Use(rationer.Config{Name: "targets", Reserve: min(total/8, 256)}),
	}
	d.logged = r.Usages()
	d.ready.Claim(d.ready)
	d.metrics.Claim(d.metrics)
	d.directory.Claim(d.directory)
	d.callers.Claim(d.directory, d.callers)
	d.dials.Claim(d.directory, d.callers)
	d.store.Claim(d.directory, d.callers)
	d.targets.Claim(d.directory, d.callers, d.targets)
	return d
}

// descriptorLimit returns the lower one of files and the process's own limit; 0 is no limit.
func descriptorLimit(files int) int {
	var limit unix.Rlimit
	err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit)
	if err != nil || limit.Cur == unix.RLIM_INFINITY {
		return files
	}
	own := int(limit.Cur)
	if files > 0 {
		return min(files, own)
	}
	return own
}

// fields returns the limit and the descriptors of each use as fields of a log line.
func (d *descriptors) fields() []logger.Field {
	fields := []logger.Field{logger.F("limit", d.limit)}
	for _, u := range d.rationer.Usages() {
		fields = append(fields, logger.F(u.Name, u.Used))
	}
	return fields
}

// shortage returns the fields of a line about the connections that were refused or closed for want
// of descriptors since the line before; it returns nil if there were none or the last line is
// recent.
func (d *descriptors) shortage(now timer.Instant) []logger.Field {
	if d.loggedAt != 0 && now.Sub(d.loggedAt) < shortageInterval {
		return nil
	}
	refused, closed := map[string]int{}, map[string]int{}
	usages := d.rationer.Usages()
	for i, u := range usages {
		if n := u.Refused - d.logged[i].Refused; n > 0 {
			refused[u.Name] = n
		}
		if n := u.Yielded - d.logged[i].Yielded; n > 0 {
			closed[u.Name] = n
		}
	}
	if len(refused)+len(closed) == 0 {
		return nil
	}
	d.logged, d.loggedAt = usages, now
	return append(d.fields(), logger.F("refused", refused), logger.F("closed", closed))
}
