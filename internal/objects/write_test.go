package objects

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/record"
)

// lossyStore holds one object with conditional updates. It fails calls at random, as if a
// request or a response had been lost: a write may or may not have taken effect.
type lossyStore struct {
	Store
	mu      sync.Mutex
	rng     *rand.Rand
	version int64
	value   []byte
	loss    float64
	// reportLostAsStored injects a fault: a write whose request was lost is reported as
	// stored.
	reportLostAsStored bool
}

func (s *lossyStore) pause() {
	s.mu.Lock()
	d := time.Duration(1+s.rng.IntN(5)) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(d)
}

func (s *lossyStore) Get(context.Context, record.Key) (Object, error) {
	s.pause()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rng.Float64() < s.loss/2 {
		return Object{}, &UnavailableError{Cause: errors.New("lost")}
	}
	return Object{Version: s.version, Value: s.value}, nil
}

func (s *lossyStore) Put(_ context.Context, _ record.Key, value []byte, ifVersion int64) (Object, error) {
	s.pause()
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := &UnavailableError{Cause: errors.New("lost")}
	lostBefore := s.rng.Float64() < s.loss/2
	if lostBefore && s.reportLostAsStored {
		return Object{Version: s.version + 1, Value: value}, nil
	}
	if lostBefore {
		return Object{}, lost
	}
	if s.version != ifVersion {
		return Object{}, &ConflictError{Current: Object{Version: s.version, Value: s.value}, IfVersion: ifVersion}
	}
	s.version++
	s.value = value
	if s.rng.Float64() < s.loss {
		return Object{}, lost
	}
	return Object{Version: s.version, Value: value}, nil
}

// registerOp is a read by an operator, or a write conditional on the value read. A write
// is unresolved if it may or may not have taken effect.
type registerOp struct {
	write      bool
	from, to   string
	unresolved bool
	conflict   bool
}

// registerModel is a register that a write changes only if it still has the value that the
// writer read.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		current, o := state.(string), output.(registerOp)
		switch {
		case !o.write && o.to == current, o.conflict:
			return []any{current}
		case !o.write:
			return nil
		case o.unresolved && current == o.from:
			return []any{current, o.to}
		case o.unresolved:
			return []any{current}
		case current == o.from:
			return []any{o.to}
		default:
			return nil
		}
	},
}

// runOperators runs concurrent operators that change the same record and returns the
// history of their operations.
func runOperators(seed uint64, reportLostAsStored bool) (history []porcupine.Operation) {
	s := &lossyStore{rng: rand.New(rand.NewPCG(seed, 1)), version: 1, loss: 0.3, reportLostAsStored: reportLostAsStored}
	ctx := context.Background()
	var mu sync.Mutex
	start := time.Now()
	add := func(client int, call time.Time, o registerOp) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{
			ClientId: client, Input: nil, Output: o, Call: call.Sub(start).Nanoseconds(), Return: time.Since(start).Nanoseconds(),
		})
	}
	var wg sync.WaitGroup
	for client := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 12 {
				call := time.Now()
				obj, err := s.Get(ctx, record.Key{})
				if err != nil {
					continue
				}
				add(client, call, registerOp{to: string(obj.Value)})
				value := fmt.Sprintf("%d-%d", client, n)
				call = time.Now()
				_, err = PutConfirmed(ctx, s, record.Key{}, []byte(value), obj.Version, func(b []byte) bool { return string(b) == value })
				var conflict *ConflictError
				o := registerOp{write: true, from: string(obj.Value), to: value}
				switch {
				case errors.As(err, &conflict):
					// Another write is stored; this one may have taken effect
					// before it.
					o.unresolved = true
				case err != nil:
					o.unresolved = true
				}
				add(client, call, o)
			}
		}()
	}
	wg.Wait()
	return history
}

func TestOperatorsHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			history := runOperators(seed, false)
			assert.Assert(t, len(history) > 40)
			assert.Assert(t, porcupine.CheckOperations(registerModel.ToModel(), history), "seed %d", seed)
		})
	}
}

func TestLinearizabilityCheckDetectsInjectedFault(t *testing.T) {
	for seed := range uint64(20) {
		detected := false
		synctest.Test(t, func(*testing.T) {
			history := runOperators(seed, true)
			detected = !porcupine.CheckOperations(registerModel.ToModel(), history)
		})
		if detected {
			return
		}
	}
	t.Fatal("lost writes reported as stored were not detected with 20 seeds")
}

func TestLostResponseCausesNoDuplicateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lossyStore{rng: rand.New(rand.NewPCG(3, 3)), version: 4, loss: 0}
		isOwn := func(b []byte) bool { return string(b) == "mine" }
		s.loss = 1 // calls fail at first, before or after the write takes effect
		go func() {
			time.Sleep(readBackPause / 2)
			s.mu.Lock()
			s.loss = 0
			s.mu.Unlock()
		}()
		obj, err := PutConfirmed(context.Background(), s, record.Key{}, []byte("mine"), 4, isOwn)
		assert.NilError(t, err)
		assert.Equal(t, obj.Version, int64(5))
		assert.Equal(t, s.version, int64(5), "the write took effect twice")
	})
}

func TestRateLimitedStoreLimitsCallRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lossyStore{rng: rand.New(rand.NewPCG(1, 1)), version: 1}
		limited := NewRateLimitedStore(s, 10, 5)
		start := time.Now()
		for range 55 {
			_, err := limited.Get(context.Background(), record.Key{})
			assert.NilError(t, err)
		}
		// In virtual time: a burst of 5, then 50 calls at 10 per second.
		assert.Assert(t, time.Since(start) >= 5*time.Second-time.Millisecond, "%s", time.Since(start))
	})
}
