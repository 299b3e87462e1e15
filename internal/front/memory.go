package front

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/membudget"
	"github.com/radishhoist/radishhoist/verdict"
)

const (
	// uncountedHeaderBytes is the part of a header that is not counted: connections have a read
	// buffer of this size in any case.
	uncountedHeaderBytes = 4 << 10
	// headerCopies is how often a header is held while it is read: as received and as parsed,
	// each in a buffer that doubles while it grows.
	headerCopies = 4
	// memoryRetryAfter is the Retry-After of refusals because of the memory. After this time,
	// callers without progress are evicted.
	memoryRetryAfter = membudget.MinStall
)

// errMemoryExhausted reports that a header exceeds the budget.
var errMemoryExhausted = errors.New("the memory for requests is used up")

// callerMemory bounds what the connections of callers hold.
type callerMemory struct {
	mu     sync.Mutex
	budget *membudget.Budget

	// uploads is the number of bodies in progress that are too large to buffer.
	uploads atomic.Int64

	evicted, refused, refusedConns *metrics.Counter
}

func newCallerMemory(limit int64, maxConns int, set *metrics.Set) *callerMemory {
	m := &callerMemory{
		budget:       membudget.New(limit, maxConns),
		evicted:      set.NewCounter("radishhoist_callers_evicted_total"),
		refused:      set.NewCounter("radishhoist_memory_refusals_total"),
		refusedConns: set.NewCounter("radishhoist_connections_refused_total"),
	}
	set.NewGauge("radishhoist_request_memory_bytes", m.gauge(func(b *membudget.Budget) float64 { return float64(b.Used()) }))
	set.NewGauge("radishhoist_request_memory_limit_bytes", m.gauge(func(b *membudget.Budget) float64 { return float64(b.Limit()) }))
	set.NewGauge("radishhoist_caller_connections", m.gauge(func(b *membudget.Budget) float64 { return float64(b.Conns()) }))
	return m
}

func (m *callerMemory) gauge(f func(*membudget.Budget) float64) func() float64 {
	return func() float64 {
		m.mu.Lock()
		defer m.mu.Unlock()
		return f(m.budget)
	}
}

// MemoryState is what the connections of callers hold, in the state dump.
type MemoryState struct {
	// Connections is the number of connections, UsedBytes what they hold in request headers
	// and bodies and in responses, and LimitBytes the bound of that, 0 if there is none.
	Connections int   `json:"connections"`
	UsedBytes   int64 `json:"usedBytes"`
	LimitBytes  int64 `json:"limitBytes"`
	// Evicted, Refused and RefusedConnections count since the start the connections that were
	// closed to make room, the requests refused and the connections refused.
	Evicted            uint64 `json:"evicted"`
	Refused            uint64 `json:"refused"`
	RefusedConnections uint64 `json:"refusedConnections"`
}

// Memory returns what the connections of callers hold.
func (f *Front) Memory() MemoryState {
	m := f.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	return MemoryState{
		Connections: m.budget.Conns(), UsedBytes: m.budget.Used(), LimitBytes: m.budget.Limit(),
		Evicted: m.evicted.Get(), Refused: m.refused.Get(), RefusedConnections: m.refusedConns.Get(),
	}
}

func (m *callerMemory) setLimit(limit int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.SetLimit(limit)
}

// open opens the account of a new connection, and returns false if there is no room for one.
func (m *callerMemory) open(c *callerConn) bool {
	now := time.Now()
	c.account.Evict = c.evict
	c.account.StartWait(now, membudget.ForRequest)
	m.mu.Lock()
	opened, conns := m.budget.Open(now, &c.account), m.budget.Conns()
	m.mu.Unlock()
	if conns > autotunedConns {
		c.limitReceiveBuffer(connBufferBytes)
	}
	return opened
}

func (m *callerMemory) close(c *callerConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Close(&c.account)
}

// evict interrupts reading from the caller, and writing if that is what waits for it. The caller
// of evict must hold the lock of callerMemory.
func (c *callerConn) evict() {
	c.evicted.Store(true)
	c.front.memory.evicted.Inc()
	c.interruptRead()
	if c.account.Waiting() == membudget.ForReader {
		c.unread.Store(true)
		c.interruptWrite()
	}
}

func (c *callerConn) interruptWrite() { _ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) }

func (c *callerConn) interruptRead() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// hold lets the connection hold n bytes more, and returns false if there is no room for them.
// For a nil connection, as in the methods below, nothing is counted.
func (c *callerConn) hold(n int64) bool {
	if c == nil || n == 0 {
		return true
	}
	m := c.front.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Grow(time.Now(), &c.account, n)
}

// release returns n bytes.
func (c *callerConn) release(n int64) {
	if c == nil || n == 0 {
		return
	}
	m := c.front.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Shrink(&c.account, n)
}

// startWait records that this host waits for the caller.
func (c *callerConn) startWait(wait membudget.Wait) {
	if c == nil {
		return
	}
	m := c.front.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	c.account.StartWait(time.Now(), wait)
}

// endWait records that this host no longer waits for the caller, which has transferred n bytes.
func (c *callerConn) endWait(n int) {
	if c == nil {
		return
	}
	m, now := c.front.memory, time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	c.account.EndWait(now)
	c.account.Progress(now, n)
}

// holdAhead lets the connection hold n bytes more for what follows the current request.
func (c *callerConn) holdAhead(n int64) bool {
	m := c.front.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.budget.Grow(time.Now(), &c.account, n) {
		return false
	}
	c.aheadHeld += n
	return true
}

// startIdle records that the connection waits for its next request. What it holds is what was read
// ahead of that.
func (c *callerConn) startIdle() {
	m, now := c.front.memory, time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Shrink(&c.account, c.headerHeld)
	c.headerBytes, c.headerHeld, c.aheadHeld = 0, c.aheadHeld, 0
	c.account.EndWait(now)
	c.account.ResetProgress(now)
	c.account.StartWait(now, membudget.ForRequest)
}

// receiveHeader counts n bytes of a header. It returns false if there is no room for them.
func (c *callerConn) receiveHeader(n int) bool {
	m, now := c.front.memory, time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	c.headerBytes += n
	c.account.StartWait(now, membudget.ForHeader)
	c.account.Progress(now, n)
	more := headerCopies*int64(max(c.headerBytes-uncountedHeaderBytes, 0)) - c.headerHeld
	more = max(more, 0)
	if !m.budget.Grow(now, &c.account, more) {
		m.refused.Inc()
		return false
	}
	c.headerHeld += more
	return true
}

// wasEvicted reports whether the connection is being closed because the budget is used up.
func (c *callerConn) wasEvicted() bool { return c != nil && c.evicted.Load() }

// memoryExhausted refuses a request because there is no room for it.
func memoryExhausted(detail string) *verdict.Error {
	return retryLater(verdict.ReasonMemory, detail, memoryRetryAfter)
}

const (
	// autotunedConns is the number of connections up to which the kernel chooses the size of
	// their receive buffers, which may become some MB, and autotunedUploads the number of
	// uploads in progress.
	autotunedConns   = 32
	autotunedUploads = 4
	// connBufferBytes is the receive buffer of a further connection, and refusedBufferBytes
	// that of one whose caller still sends the body of a refused request.
	connBufferBytes    = 64 << 10
	refusedBufferBytes = 4 << 10
)

// limitReceiveBuffer bounds what the kernel receives while the connection is not read.
func (c *callerConn) limitReceiveBuffer(n int) {
	if c == nil || c.bufferLimit.Load() > 0 && c.bufferLimit.Load() <= int32(n) {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		c.bufferLimit.Store(int32(n))
		_ = tcp.SetReadBuffer(n)
	}
}
