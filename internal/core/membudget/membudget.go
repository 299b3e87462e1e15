// Package membudget bounds the memory that the requests of callers hold on a host, and decides
// which connections are evicted when the memory or the number of connections is used up.
//
// What is counted is what is held, not what callers declare. A connection may be evicted only
// while the host waits for its caller, and only if that caller has made no progress for some
// time: work that an instance may have begun is never undone for the sake of another request.
//
// The package does no I/O, and callers pass in the time. A Budget is not safe for concurrent use.
package membudget

import (
	"cmp"
	"slices"
	"time"
)

const (
	// SmallBytes is the amount, in bytes, up to which an account may use the whole budget.
	SmallBytes = 64 << 10
	// largeFraction is the fraction of the budget that accounts above SmallBytes may use. The
	// rest is for ordinary requests, which are small.
	largeFraction = 0.75
	// evictingFraction bounds what evicted accounts still hold when more is granted, as a
	// fraction of the budget or of the number of connections.
	evictingFraction = 0.25
	// MinStall is how long a caller must have made no progress before its connection may be
	// evicted.
	MinStall = time.Second
	// progressBytes is the number of bytes that a caller has to transfer before the time
	// without progress starts again. A caller that sends a byte at a time makes none.
	progressBytes = 16 << 10
)

// Wait is what a host waits for on a connection.
type Wait uint8

// What a host may wait for, in the order in which connections are closed if there are too many.
const (
	// NotWaiting means that the caller is waiting for the host.
	NotWaiting Wait = iota
	// ForRequest means that the connection is idle.
	ForRequest
	// ForHeader means that the caller has not sent a whole request header.
	ForHeader
	// ForBody means that the caller has not sent the whole body of its request.
	ForBody
	// ForReader means that the caller does not read its response.
	ForReader
)

// Account is what one connection holds. It must not be copied after Open.
type Account struct {
	// Evict is called when the connection is chosen to be closed. It must not call the Budget.
	Evict func()

	held            int64
	evicted, closed bool
	// wait is what the host waits for now, and lastWait what it waited for last.
	wait, lastWait Wait
	// waitSince is when the current wait began. stalled is the time of earlier waits without
	// progress, and transferred what has been transferred since the last progress.
	waitSince   time.Time
	stalled     time.Duration
	transferred int64
}

// Held returns the bytes that the account holds.
func (a *Account) Held() int64 { return a.held }

// Waiting returns what the host waits for.
func (a *Account) Waiting() Wait { return a.wait }

// Evicted reports whether the connection was chosen to be closed.
func (a *Account) Evicted() bool { return a.evicted }

// StartWait records that the host waits for the caller. A change of what it waits for counts as
// progress.
func (a *Account) StartWait(now time.Time, wait Wait) {
	if a.lastWait != wait {
		a.stalled, a.transferred = 0, 0
	} else if a.wait == wait {
		return
	}
	a.wait, a.lastWait, a.waitSince = wait, wait, now
}

// EndWait records that the host no longer waits for the caller.
func (a *Account) EndWait(now time.Time) {
	if a.wait != NotWaiting {
		a.stalled += now.Sub(a.waitSince)
		a.wait = NotWaiting
	}
}

// Progress records that the caller has transferred n bytes.
func (a *Account) Progress(now time.Time, n int) {
	if a.transferred += int64(n); a.transferred >= progressBytes {
		a.ResetProgress(now)
	}
}

// ResetProgress starts the time without progress again.
func (a *Account) ResetProgress(now time.Time) {
	a.stalled, a.transferred, a.waitSince = 0, 0, now
}

// stall returns how long the host has waited for the caller without progress.
func (a *Account) stall(now time.Time) time.Duration {
	if a.wait == NotWaiting {
		return 0
	}
	return a.stalled + now.Sub(a.waitSince)
}

// Budget is what all connections of a host may hold.
type Budget struct {
	limit    int64
	maxConns int
	used     int64
	accounts []*Account
	// evicting is what evicted accounts still hold, and evictingConns their number.
	evicting      int64
	evictingConns int
}

// New returns a budget of limit bytes and maxConns connections; 0 means no limit.
func New(limit int64, maxConns int) *Budget { return &Budget{limit: limit, maxConns: maxConns} }

// SetLimit changes the number of bytes; 0 means no limit.
func (b *Budget) SetLimit(limit int64) { b.limit = limit }

// Limit returns the number of bytes that may be held, 0 if there is no limit.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used }

// Conns returns the number of open accounts.
func (b *Budget) Conns() int { return len(b.accounts) }

// Open opens an account for a new connection. If there are too many, another connection is
// evicted; if none may be, it returns false.
func (b *Budget) Open(now time.Time, a *Account) bool {
	if b.maxConns > 0 && len(b.accounts)-b.evictingConns >= b.maxConns {
		victim := b.longestWait(now, a)
		if victim == nil || float64(b.evictingConns) >= evictingFraction*float64(b.maxConns) {
			return false
		}
		b.evict(victim)
	}
	b.accounts = append(b.accounts, a)
	return true
}

// Close closes an account and returns what it holds.
func (b *Budget) Close(a *Account) {
	i := slices.Index(b.accounts, a)
	if i < 0 {
		return
	}
	b.Shrink(a, a.held)
	a.closed = true
	if a.evicted {
		b.evictingConns--
	}
	last := len(b.accounts) - 1
	b.accounts[i] = b.accounts[last]
	b.accounts[last] = nil
	b.accounts = b.accounts[:last]
}

// Grow lets an account hold n bytes more. If they exceed the budget, connections that have
// waited longest for their callers are evicted; if that is not enough, it returns false and
// evicts none. An evicted or closed account cannot grow.
func (b *Budget) Grow(now time.Time, a *Account, n int64) bool {
	if a.evicted || a.closed {
		return false
	}
	if excess := b.used - b.evicting + n - b.limitFor(a.held+n); b.limit > 0 && excess > 0 && !b.makeRoom(now, a, excess) {
		return false
	}
	a.held += n
	b.used += n
	return true
}

// Shrink returns n bytes of an account.
func (b *Budget) Shrink(a *Account, n int64) {
	n = min(n, a.held)
	a.held -= n
	b.used -= n
	if a.evicted {
		b.evicting -= n
	}
}

// limitFor returns the part of the budget that an account which holds n bytes may use.
func (b *Budget) limitFor(n int64) int64 {
	if n <= SmallBytes {
		return b.limit
	}
	return int64(largeFraction * float64(b.limit))
}

// makeRoom evicts connections that hold at least n bytes together. It returns false if there are
// not enough of them.
func (b *Budget) makeRoom(now time.Time, except *Account, n int64) bool {
	if b.evicting+n > int64(evictingFraction*float64(b.limit)) {
		return false
	}
	var victims []*Account
	for _, a := range b.accounts {
		if a != except && a.held > 0 && a.evictable(now) {
			victims = append(victims, a)
		}
	}
	slices.SortStableFunc(victims, func(x, y *Account) int { return cmp.Compare(y.stall(now), x.stall(now)) })
	sum, count := int64(0), 0
	for ; count < len(victims) && sum < n; count++ {
		sum += victims[count].held
	}
	if sum < n {
		return false
	}
	for _, a := range victims[:count] {
		b.evict(a)
	}
	return true
}

// longestWait returns the connection to close if there are too many: an idle one if there is any,
// and of several the one whose caller has been waited for longest.
func (b *Budget) longestWait(now time.Time, except *Account) *Account {
	var longest *Account
	for _, a := range b.accounts {
		switch {
		case a == except || !a.evictable(now):
		case longest == nil || a.wait < longest.wait || a.wait == longest.wait && a.stall(now) > longest.stall(now):
			longest = a
		}
	}
	return longest
}

func (a *Account) evictable(now time.Time) bool {
	return !a.evicted && a.wait != NotWaiting && a.stall(now) >= MinStall
}

func (b *Budget) evict(a *Account) {
	a.evicted = true
	b.evicting += a.held
	b.evictingConns++
	if a.Evict != nil {
		a.Evict()
	}
}
