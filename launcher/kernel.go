package launcher

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Service is a named part of the process.
type Service interface {
	// Run blocks until ctx is done; an error stops all services.
	Run(ctx context.Context) error
}

// Kernel registers the services of the process and runs them.
type Kernel struct {
	mu       sync.Mutex
	order    []string
	services map[string]Service
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{services: make(map[string]Service)}
}

// Register adds a service under a name; a name in use is an Error of KindDuplicate.
func (k *Kernel) Register(name string, s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[name]; ok {
		return &Error{Op: "register " + name, Kind: KindDuplicate}
	}
	k.services[name] = s
	k.order = append(k.order, name)
	return nil
}

// Find returns the service with the name; an unknown name is an Error of KindMissing.
func (k *Kernel) Find(name string) (Service, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.services[name]
	if !ok {
		return nil, &Error{Op: "find " + name, Kind: KindMissing}
	}
	return s, nil
}

// Run runs all services until ctx is done or one of them fails. It waits for all of them to stop
// and returns the first error.
func (k *Kernel) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	k.mu.Lock()
	for _, name := range k.order {
		s := k.services[name]
		g.Go(func() error { return runService(ctx, name, s) })
	}
	k.mu.Unlock()
	return g.Wait()
}

func runService(ctx context.Context, name string, s Service) error {
	err := s.Run(ctx)
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return &Error{Op: "run " + name, Kind: KindRun, Err: err}
}
