package scheduler

import "time"

const (
	// DefaultQueue bounds the queue of a service.
	DefaultQueue = 64
	// DefaultCustomerQueue bounds the part of a service's queue that one customer fills.
	DefaultCustomerQueue = 16
	// DefaultEjectAfter is the number of consecutive failures that ejects a target.
	DefaultEjectAfter = 3
	// DefaultEjectFor is the length of a target's first ejection; each further one doubles it.
	DefaultEjectFor = time.Second
	// DefaultEjectMax bounds the length of an ejection.
	DefaultEjectMax = 30 * time.Second
	// DefaultOwnAge is the age up to which own results outweigh a target's report.
	DefaultOwnAge = 5 * time.Second
	// DefaultReportAge is the age from which a report counts as absent.
	DefaultReportAge = 5 * time.Second
	// DefaultProbeWait is the time after which also non-idempotent work may probe a target.
	DefaultProbeWait = 5 * time.Second
	// DefaultWarmupAnswers is the number of answers that opens one more slot of a cold target.
	DefaultWarmupAnswers = 4
	// CostUnit is the cost of an ordinary request.
	CostUnit = 1000

	// maxAlone bounds the work of a service that waits to run alone.
	maxAlone = 8

	// marginPercent is added to estimates that are held against a deadline.
	marginPercent = 25
)

// Config sets up a scheduler; zero settings stand for the defaults.
type Config struct {
	// Queue bounds the queue of a service.
	Queue int
	// CustomerQueue bounds the part of a service's queue that one customer fills.
	CustomerQueue int
	// EjectAfter is the number of consecutive failures that ejects a target.
	EjectAfter int
	// EjectFor is the length of a target's first ejection.
	EjectFor time.Duration
	// EjectMax bounds the length of an ejection.
	EjectMax time.Duration
	// OwnAge is the age up to which own results outweigh a target's report.
	OwnAge time.Duration
	// ReportAge is the age from which a report counts as absent.
	ReportAge time.Duration
	// ProbeWait is the time after which also non-idempotent work may probe a target.
	ProbeWait time.Duration
	// WarmupAnswers is the number of answers that opens one more slot of a cold target.
	WarmupAnswers int
}

func (c Config) withDefaults() Config {
	c.Queue = orDefault(c.Queue, DefaultQueue)
	c.CustomerQueue = orDefault(c.CustomerQueue, DefaultCustomerQueue)
	c.EjectAfter = orDefault(c.EjectAfter, DefaultEjectAfter)
	c.WarmupAnswers = orDefault(c.WarmupAnswers, DefaultWarmupAnswers)
	c.EjectFor = orDuration(c.EjectFor, DefaultEjectFor)
	c.EjectMax = orDuration(c.EjectMax, DefaultEjectMax)
	c.OwnAge = orDuration(c.OwnAge, DefaultOwnAge)
	c.ReportAge = orDuration(c.ReportAge, DefaultReportAge)
	c.ProbeWait = orDuration(c.ProbeWait, DefaultProbeWait)
	return c
}

func orDefault(n, fallback int) int {
	if n <= 0 {
		return fallback
	}
	return n
}

func orDuration(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}
