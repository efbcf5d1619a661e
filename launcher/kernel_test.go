package launcher

import (
	"context"
	"testing"

	"github.com/pkg/errors"
)

type serviceFunc func(ctx context.Context) error

func (f serviceFunc) Run(ctx context.Context) error { return f(ctx) }

func TestKernelStopsTogether(t *testing.T) {
	k := New()
	cause := errors.New("broken")
	stopped := false
	mustRegister(t, k, "waits", serviceFunc(func(ctx context.Context) error {
		<-ctx.Done()
		stopped = true
		return nil
	}))
	mustRegister(t, k, "fails", serviceFunc(func(context.Context) error { return cause }))
	err := k.Run(context.Background())
	if !errors.Is(err, cause) || !stopped {
		t.Fatalf("err %v, other service stopped: %t", err, stopped)
	}
}

func TestKernelFindsByName(t *testing.T) {
	k := New()
	mustRegister(t, k, "a", serviceFunc(func(context.Context) error { return nil }))
	if _, err := k.Find("a"); err != nil {
		t.Fatal(err)
	}
	var e *Error
	if _, err := k.Find("b"); !errors.As(err, &e) || e.Kind != KindMissing {
		t.Fatalf("got %v", err)
	}
	if err := k.Register("a", nil); !errors.As(err, &e) || e.Kind != KindDuplicate {
		t.Fatalf("got %v", err)
	}
}

func mustRegister(t *testing.T, k *Kernel, name string, s Service) {
	t.Helper()
	if err := k.Register(name, s); err != nil {
		t.Fatal(err)
	}
}
