package limiter

import (
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// take is an operation on the tokens of one host at one instant.
type take struct{ units int64 }

// tokens is a bank account: a take is granted if and only if it is covered.
var tokens = porcupine.Model{
	Init: func() any { return int64(50) },
	Step: func(state, input, output any) (bool, any) {
		left, _ := state.(int64)
		op, _ := input.(take)
		granted, _ := output.(bool)
		if op.units > left {
			return !granted, left
		}
		return granted, left - op.units
	},
}

func TestConcurrentAdmissionsAreLinearizable(t *testing.T) {
	w := fleet(t, 2, Account{Name: "a", Rate: 100, Burst: 100})
	w.settleDown(2 * time.Second)
	var mu sync.Mutex
	var clock int64
	var history []porcupine.Operation
	stamp := func() int64 {
		mu.Lock()
		defer mu.Unlock()
		clock++
		return clock
	}
	var wg sync.WaitGroup
	for id := range 8 {
		wg.Go(func() {
			for i := range 6 {
				op := porcupine.Operation{ClientId: id, Input: take{units: int64(1 + (id+i)%3)}, Call: stamp()}
				op.Output = w.procs[0].limiter.Admit("a", int64(1+(id+i)%3)).Admitted
				op.Return = stamp()
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if !porcupine.CheckOperations(tokens, history) {
		t.Fatalf("no order of the operations explains %v", history)
	}
}
