package membudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const limit = 1 << 20

// start is the time at which every test begins.
var start = time.Unix(1000, 0)

// open opens accounts that wait for a body and hold n bytes each.
func open(t *testing.T, b *Budget, now time.Time, count int, n int64) []*Account {
	t.Helper()
	out := make([]*Account, count)
	for i := range out {
		out[i] = &Account{}
		assert.Assert(t, b.Open(now, out[i]))
		out[i].StartWait(now, ForBody)
		assert.Assert(t, b.Grow(now, out[i], n))
	}
	return out
}

func TestLargeAccountsLeaveRoomForSmallOnes(t *testing.T) {
	b := New(limit, 0)
	open(t, b, start, 3, limit/4)
	large, small := &Account{}, &Account{}
	assert.Assert(t, b.Open(start, large) && b.Open(start, small))
	assert.Assert(t, !b.Grow(start, large, limit/4))
	assert.Assert(t, b.Grow(start, small, SmallBytes))
	assert.Equal(t, b.Used(), int64(3*limit/4+SmallBytes))
}

func TestCallersWithoutProgressAreEvictedFirst(t *testing.T) {
	b := New(limit, 0)
	a := open(t, b, start, 3, limit/4)
	a[0].Progress(start.Add(MinStall/2), progressBytes)
	a[1].EndWait(start.Add(MinStall / 2)) // an instance has the whole request
	newcomer := &Account{}
	assert.Assert(t, b.Open(start, newcomer))
	now := start.Add(MinStall)
	assert.Assert(t, b.Grow(now, newcomer, limit/4))
	assert.Assert(t, !a[0].Evicted() && !a[1].Evicted() && a[2].Evicted())

	b.Close(a[2])
	assert.Equal(t, b.Used(), int64(3*limit/4))
	assert.Equal(t, b.evicting, int64(0))
}

// A crowd that sends a byte now and then makes no progress.
func TestTrickleIsNoProgress(t *testing.T) {
	b := New(limit, 0)
	a := open(t, b, start, 1, limit/4)[0]
	now := start
	for range 100 {
		now = now.Add(MinStall / 50)
		a.EndWait(now)
		a.Progress(now, 1)
		a.StartWait(now, ForBody)
	}
	assert.Equal(t, a.stall(now), 2*MinStall)
}

// A caller is not charged for the time in which the host did not read.
func TestTimeWithoutWaitingIsNoStall(t *testing.T) {
	a := &Account{}
	a.StartWait(start, ForBody)
	a.EndWait(start.Add(time.Millisecond))
	a.StartWait(start.Add(time.Hour), ForBody)
	assert.Equal(t, a.stall(start.Add(time.Hour)), time.Millisecond)
}

// Guards against callers that are evicted as soon as they send a request, because their connection
// had been idle before.
func TestEachWaitStartsAnew(t *testing.T) {
	a := &Account{}
	a.StartWait(start, ForRequest)
	now := start.Add(time.Hour)
	a.StartWait(now, ForHeader)
	assert.Equal(t, a.stall(now), time.Duration(0))
	a.EndWait(now.Add(time.Second))
	a.StartWait(now.Add(time.Second), ForBody)
	assert.Equal(t, a.stall(now.Add(2*time.Second)), time.Second)
}

// Guards against memory that is lost to the budget: a connection may be closed while what arrived
// on it is being counted.
func TestClosedAccountDoesNotGrow(t *testing.T) {
	b := New(limit, 0)
	a := open(t, b, start, 1, 1000)[0]
	b.Close(a)
	assert.Assert(t, !b.Grow(start, a, 1000))
	assert.Equal(t, b.Used(), int64(0))
}

func TestNothingIsEvictedInVain(t *testing.T) {
	b := New(limit, 0)
	a := open(t, b, start, 1, SmallBytes)[0]
	b.accounts = append(b.accounts, &Account{held: limit})
	b.used += limit
	newcomer := &Account{}
	assert.Assert(t, b.Open(start, newcomer))
	assert.Assert(t, !b.Grow(start.Add(MinStall), newcomer, limit/4))
	assert.Assert(t, !a.Evicted())
}

func TestIdleConnectionsAreClosedBeforeOthers(t *testing.T) {
	b := New(0, 3)
	waits := []Wait{ForBody, ForHeader, ForRequest}
	a := make([]*Account, len(waits))
	for i, wait := range waits {
		a[i] = &Account{}
		assert.Assert(t, b.Open(start, a[i]))
		a[i].StartWait(start.Add(time.Duration(i)*time.Millisecond), wait)
	}
	assert.Assert(t, !b.Open(start.Add(MinStall/2), &Account{}))
	now := start.Add(2 * MinStall)
	assert.Assert(t, b.Open(now, &Account{}))
	assert.Assert(t, a[2].Evicted() && !a[1].Evicted() && !a[0].Evicted())
	// No further connection is accepted before the evicted one has closed.
	assert.Assert(t, !b.Open(now, &Account{}))
	b.Close(a[2])
	assert.Assert(t, b.Open(now, &Account{}))
	assert.Assert(t, a[1].Evicted())
}

// Whatever happens in which order, the sums equal what the accounts hold, and what is held
// beyond the budget is what evicted accounts have not returned yet.
func TestSumsMatchAccounts(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		b := New(limit, 16)
		now := start
		var open []*Account
		for range 2000 {
			now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
			if len(open) == 0 || rng.IntN(10) == 0 {
				if a := (&Account{}); b.Open(now, a) {
					open = append(open, a)
				}
				continue
			}
			i := rng.IntN(len(open))
			a := open[i]
			switch rng.IntN(6) {
			case 0:
				a.StartWait(now, Wait(1+rng.IntN(3)))
			case 1:
				a.EndWait(now)
			case 2:
				b.Shrink(a, rng.Int64N(SmallBytes))
			case 3:
				a.Progress(now, rng.IntN(2*progressBytes))
			case 4:
				b.Close(a)
				open = append(open[:i], open[i+1:]...)
			default:
				b.Grow(now, a, rng.Int64N(4*SmallBytes))
			}
			checkSums(t, b, open)
		}
	}
}

func checkSums(t *testing.T, b *Budget, open []*Account) {
	t.Helper()
	held, evicting, evicted := int64(0), int64(0), 0
	for _, a := range open {
		held += a.held
		if a.evicted {
			evicting += a.held
			evicted++
		}
	}
	assert.Equal(t, b.Used(), held)
	assert.Equal(t, b.evicting, evicting)
	assert.Equal(t, b.evictingConns, evicted)
	assert.Equal(t, b.Conns(), len(open))
	assert.Assert(t, held-evicting <= limit)
	assert.Assert(t, len(open)-evicted <= 16)
}
