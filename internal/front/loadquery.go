package front

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// Before a front chooses a target, it asks the guards of the candidates for their current
// load and failure estimate. Load reports alone do not suffice in a large fleet: the rate at
// which a host may send them is limited, so that each reaches a smaller part of the fleet the
// more hosts there are, and a front that sends few requests learns little from responses. The
// number of queries for a choice does not depend on the size of the fleet, and their rate is
// limited: a front that makes many choices asks part of the candidates.

const (
	// localLoadMaxAge is the age up to which the load of an instance in this data centre
	// counts as current, so that its guard is not asked again, and remoteLoadMaxAge that of
	// an instance in another one: most requests stay in the data centre, and traffic between
	// data centres is expensive.
	localLoadMaxAge  = 100 * time.Millisecond
	remoteLoadMaxAge = time.Second
	// loadQueryTimeout is how long a choice waits for replies. Without a reply it uses what
	// is known: a lost reply costs the request this time and nothing else. Replies that
	// arrive later are used by the next choices.
	loadQueryTimeout = 2 * time.Millisecond
	// maxLoadQueryRate is the maximum number of queries that a front sends per second, and
	// loadQueryBurst at once. With as many replies this is some 16 KB/s, headers included.
	maxLoadQueryRate = 120
	loadQueryBurst   = 240
	// recentLoadQueries is the number of choices whose replies are accepted.
	recentLoadQueries = 1024
)

// LoadQuerier sends load queries to the guards of other hosts.
type LoadQuerier interface {
	// SendLoadQuery sends a query to the host at an address. The query or the reply may be
	// lost.
	SendLoadQuery(address string, q *msg.LoadQuery)
}

// SetLoadQuerier sets the sender of load queries. It must be called before the first request.
func (f *Front) SetLoadQuerier(q LoadQuerier) { f.loadQuerier = q }

// loadQueries holds the recent choices for which guards were asked.
type loadQueries struct {
	limiter *rate.Limiter

	mu     sync.Mutex
	lastID uint64
	recent [recentLoadQueries]*loadQuery
}

func newLoadQueries() *loadQueries {
	return &loadQueries{limiter: rate.NewLimiter(maxLoadQueryRate, loadQueryBurst), lastID: rand.Uint64()}
}

// admit returns how many of n queries may be sent now.
func (l *loadQueries) admit(now time.Time, n int) int {
	n = min(n, max(int(l.limiter.TokensAt(now)), 0))
	if !l.limiter.AllowN(now, n) {
		return 0 // a concurrent choice took the tokens
	}
	return n
}

// loadQuery is one choice for which guards were asked.
type loadQuery struct {
	id    uint64
	state *serviceState
	// targets are the candidates asked. unanswered counts those that have not replied, and
	// answered marks the others.
	targets    []*target
	answered   []bool
	unanswered int
	// complete is closed when all have replied.
	complete chan struct{}
}

// add registers a choice.
func (l *loadQueries) add(st *serviceState, targets []*target) *loadQuery {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	q := &loadQuery{id: l.lastID, state: st, targets: targets, answered: make([]bool, len(targets)), unanswered: len(targets), complete: make(chan struct{})}
	l.recent[q.id%recentLoadQueries] = q
	return q
}

// match returns the choice and the target that a reply is for, and false if there is none or
// if it has replied before.
func (l *loadQueries) match(r *msg.LoadReply) (*loadQuery, *target, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q, i := l.recent[r.ID%recentLoadQueries], int(r.Index)
	if q == nil || q.id != r.ID || i >= len(q.targets) || q.answered[i] {
		return nil, nil, false
	}
	q.answered[i] = true
	return q, q.targets[i], true
}

// unanswered returns the number of targets that have not replied.
func (l *loadQueries) unanswered(q *loadQuery) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return q.unanswered
}

// recordReply counts a reply whose load has been applied.
func (l *loadQueries) recordReply(q *loadQuery) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q.unanswered--; q.unanswered == 0 {
		close(q.complete)
	}
}

// HandleLoadReply applies a guard's reply to a load query.
func (f *Front) HandleLoadReply(r *msg.LoadReply) {
	q, t, ok := f.loadQueries.match(r)
	if !ok {
		return
	}
	if late := q.state.updateQueriedLoad(time.Now(), t, r.Load); late && t.Host.DC == f.cfg.DC {
		f.counts.lateReplies.Inc()
	}
	f.loadQueries.recordReply(q)
}

// updateQueriedLoad records the load of a reply. Replies do not ask for trials, so that an
// earlier load report that does remains valid. late reports whether the choice that asked has
// been made without it.
func (st *serviceState) updateQueriedLoad(now time.Time, t *target, load msg.Load) (late bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	late = !t.observed.unansweredSince.IsZero() && now.Sub(t.observed.unansweredSince) > loadQueryTimeout
	load.WantsTrial = t.observed.wantsTrial(now)
	t.observed.updateLoad(now, load)
	return late
}

// sampleCandidates returns the targets among which the next choice for a request is made,
// after asking the guards of those whose load is not current. It waits for loadQueryTimeout
// at most.
func (f *Front) sampleCandidates(ctx context.Context, req *request, tried []*target, usesRetryBudget bool, rng *rand.Rand) []*target {
	now := time.Now()
	sampled, outdated := req.state.sample(now, req, tried, usesRetryBudget, rng, f)
	outdated = slices.DeleteFunc(outdated, func(t *target) bool { return f.queryLocally(now, req.state, t) })
	if f.loadQuerier == nil {
		return sampled
	}
	outdated = outdated[:f.loadQueries.admit(now, len(outdated))]
	if len(outdated) == 0 {
		return sampled
	}
	q := f.loadQueries.add(req.state, outdated)
	req.state.recordQueries(now, outdated)
	for i, t := range outdated {
		f.loadQuerier.SendLoadQuery(t.Host.PeerAddr, &msg.LoadQuery{ID: q.id, Index: uint8(i), Service: t.Service, Instance: t.Name})
	}
	timeout := time.NewTimer(loadQueryTimeout)
	defer timeout.Stop()
	select {
	case <-q.complete:
	case <-timeout.C:
		f.counts.unansweredQueries.Add(f.loadQueries.unanswered(q))
		f.loadQueries.recordMissingReplies(q)
	case <-ctx.Done():
	}
	return sampled
}

// queryLocally applies the current load of a target on this host, and reports whether the
// target is on this host.
func (f *Front) queryLocally(now time.Time, st *serviceState, t *target) bool {
	if t.Host.Name != f.cfg.Host {
		return false
	}
	if load, ok := f.guard.Load(t.Service, t.Name); ok {
		st.updateQueriedLoad(now, t, load)
	}
	return true
}

// sample draws a sample of the targets that a request may use, and returns it without
// repetitions, together with those whose load is not current.
func (st *serviceState) sample(now time.Time, req *request, tried []*target, usesRetryBudget bool, rng *rand.Rand, f *Front) (sampled, outdated []*target) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.refreshOldCandidates(now, req.service, f.paths, f.cfg)
	eligible, local := st.eligibleFor(now, req, tried, usesRetryBudget, !f.draining.Load())
	for _, k := range st.samplePositions(now, req, eligible, local, rng, f.cfg) {
		t := st.targets[eligible[k]]
		if slices.Contains(sampled, t) {
			continue
		}
		sampled = append(sampled, t)
		if now.Sub(t.observed.loadAt) > maxLoadAge(t, f.cfg) || usesRetryBudget && t.observed.queryBeforeRetry(now) {
			outdated = append(outdated, t)
		}
	}
	return sampled, outdated
}

// maxLoadAge is the age up to which the load of a target counts as current.
func maxLoadAge(t *target, cfg Config) time.Duration {
	if t.Host.DC == cfg.DC || cfg.areas.near(t) {
		return localLoadMaxAge
	}
	return remoteLoadMaxAge
}
