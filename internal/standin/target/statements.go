package target

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/header"
)

const (
	// settleTime is the time from the first response with a rate limit until the limit is
	// checked.
	settleTime = 3 * time.Second
	// limitWindow is the span over which arrivals are compared with the rate limit. limitFactor
	// and limitSlack are the tolerance.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// drainTime is the time after the first response that states the leaving in which requests
	// may still arrive.
	drainTime = 2 * time.Second
	// announceDelay is the time from that response to the announcement.
	announceDelay = 1500 * time.Millisecond
)

// statements records what the current instance has stated in its responses, and the arrivals
// that do not heed it.
type statements struct {
	// limitAt and leavingAt are the times of the first responses that stated them.
	limitAt, leavingAt time.Time
	// departed reports that leavingAt is when a withdrawal was acknowledged.
	departed bool
	// arrivals are the latest arrivals since limitAt.
	arrivals                []time.Time
	overLimit, lateArrivals int
}

// reset begins a new instance. The counts remain.
func (s *statements) reset() {
	s.resetLimit()
	s.leavingAt, s.departed = time.Time{}, false
}

func (s *statements) resetLimit() { s.limitAt, s.arrivals = time.Time{}, nil }

// observeArrival counts a request.
func (s *statements) observeArrival(now time.Time, b Behaviour) {
	if !s.leavingAt.IsZero() && now.Sub(s.leavingAt) > drainTime {
		s.lateArrivals++
	}
	if b.RateLimit <= 0 || s.limitAt.IsZero() {
		return
	}
	s.arrivals = append(s.arrivals, now)
	for now.Sub(s.arrivals[0]) >= limitWindow {
		s.arrivals = s.arrivals[1:]
	}
	if now.Sub(s.limitAt) >= settleTime {
		allowed := int(limitFactor*limitWindow.Seconds()*b.RateLimit) + limitSlack
		s.overLimit = max(s.overLimit, len(s.arrivals)-allowed)
	}
}

// announcesLeaving reports whether the announcements say that the instance is leaving.
func (s *statements) announcesLeaving(now time.Time) bool {
	return !s.departed && !s.leavingAt.IsZero() && now.Sub(s.leavingAt) >= announceDelay
}

// state sets the headers by which the stand-in states its rate limit and its leaving.
func (s *Server) state(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.behaviour.RateLimit > 0 {
		h.Set(header.Default().RateLimit, strconv.FormatFloat(s.behaviour.RateLimit, 'f', -1, 64))
		if s.statements.limitAt.IsZero() {
			s.statements.limitAt = now
		}
	}
	if s.behaviour.Leaving {
		h.Set(header.Default().Leaving, "1")
		if s.statements.leavingAt.IsZero() {
			s.statements.leavingAt = now
		}
	}
}

// withdraw withdraws an instance, and records the time of the acknowledgement.
func (s *Server) withdraw(ctx context.Context, name string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+s.cfg.Announce+"/v1/instances/"+name, nil)
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if resp.StatusCode/100 == 2 && s.behaviour.Departs && s.instanceName() == name {
		s.statements.departed, s.statements.leavingAt = true, time.Now()
	}
}
