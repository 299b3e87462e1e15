package front

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/radishhoist/radishhoist/record"
)

// teamLimits holds the rate of each team that has been seen and has one.
type teamLimits struct {
	mu       sync.Mutex
	records  map[string]*record.Team
	limiters map[string]*teamLimit
}

type teamLimit struct {
	record  *record.Team
	limiter *rate.Limiter
}

// maxLimiters bounds the limiters held; beyond it all are dropped, which
// gives each team its burst anew.
const maxLimiters = 100000

// update takes new Team records. Limiters of changed teams are made anew.
func (t *teamLimits) update(records map[string]*record.Team) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = records
}

// take spends one request of a team and gives the time to wait where it is
// over its rate, 0 where it is within.
func (t *teamLimits) take(now time.Time, team string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	rec, ok := t.records[team]
	if !ok || rec.RatePerSecond == 0 {
		return 0
	}
	l, ok := t.limiters[team]
	if !ok || *l.record != *rec {
		l = t.make(team, rec)
	}
	r := l.limiter.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}

func (t *teamLimits) make(team string, rec *record.Team) *teamLimit {
	if t.limiters == nil || len(t.limiters) >= maxLimiters {
		t.limiters = make(map[string]*teamLimit)
	}
	burst := rec.Burst
	if burst == 0 {
		burst = rec.RatePerSecond
	}
	l := &teamLimit{record: rec, limiter: rate.NewLimiter(rate.Limit(rec.RatePerSecond), burst)}
	t.limiters[team] = l
	return l
}
