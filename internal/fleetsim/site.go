// Package fleetsim plays a whole fleet in virtual time: the real fronts and guards,
// with pipes in place of sockets and stand-ins for instances and callers. What it
// leaves out is membership and the platform: every host knows all others from the
// start.
//
// It is for tests that play a load and check what callers get. It runs within a
// bubble of testing/synctest, so that a minute of a heavy day takes seconds and
// depends on no clock.
package fleetsim

import "time"

// Service is one service of a Site.
type Service struct {
	Name             string
	Instances, Slots int
}

// Kind is one kind of request.
type Kind struct {
	// Name is that of its route, which leads to Service.
	Name, Service string
	// PerSecond is how many callers send, 0 for what only instances call.
	PerSecond float64
	// Work is the mean time that an instance takes.
	Work                time.Duration
	Objective, Deadline time.Duration
	Idempotent          bool
	Priority            int
	MaxAttempts         int
	// Popular says that all requests of the kind have one path.
	Popular bool
	// Calls is the kind that an instance calls while it runs this one, with the
	// chance CallChance.
	Calls      string
	CallChance float64
}

// Health is how instances fail: by turns, each for itself.
type Health struct {
	// WellFor and SickFor are the mean times of the two states; SickFor of 0 is
	// never sick.
	WellFor, SickFor time.Duration
	// SickFails is the part of the requests that a sick instance fails at once, and
	// WellFails that which any instance fails at the end of its run.
	SickFails, WellFails float64
}

// Crasher is a request that ends every instance that begins to run it. Callers send it
// again and again, with the same path.
type Crasher struct {
	// Kind is that of its route, and Path its path there.
	Kind, Path string
	// PerSecond is how many callers send it, from random hosts.
	PerSecond float64
	// After is how long it runs before the instance ends.
	After time.Duration
	// OldOnly says that it ends instances of the old version only.
	OldOnly bool
	// Via is the kind that callers send in its place, each run of which calls it; empty
	// where they send it themselves.
	Via string
}

// viaPath is the path of the requests whose runs call the crasher.
func (c *Crasher) viaPath() string { return "/" + c.Via + "/calls" + c.Path }

// Loss ends some instances of a service at once.
type Loss struct {
	At      time.Duration
	Service string
	// Instances is how many end.
	Instances int
}

// Cut parts a data centre from the others for a time: no stream opens between them, and
// news waits for its end and the next repair.
type Cut struct {
	At, For time.Duration
	// DC is the data centre, counted from 0.
	DC int
}

// Site is what is played.
type Site struct {
	// DCs is the number of data centres that the hosts are spread over, and OneWay
	// the delay of a message between two of them, Near within one.
	DCs          int
	OneWay, Near time.Duration
	Services     []Service
	Kinds        []Kind
	Health       Health
	// Rolled is a service of which every second instance runs a new version.
	Rolled string
	// Crashers end instances, each of which is back after Down under a new name.
	Crashers []Crasher
	Down     time.Duration
	// Losses end instances for no fault of a request.
	Losses []Loss
	// Cuts part data centres from the others.
	Cuts []Cut
	// RetryShare and RetryReserve are the budget of repeats in RetryWindow.
	RetryShare   int
	RetryReserve float64
	RetryWindow  time.Duration
	// Known tells every front at once which instances are sick: what no policy can
	// know, to see what knowing would give.
	Known bool
	// Warm is how long the fleet runs before callers come, For how long they come.
	Warm, For time.Duration
	Seed      uint64
}

// Outcome sums up the requests of one kind. Stopped are those refused as requests that
// crash their targets.
type Outcome struct {
	Asked, InTime, Late, Refused, Failed, Stopped int
}

// Served is the share of the requests that had a whole answer.
func (o Outcome) Served() float64 { return float64(o.InTime+o.Late) / float64(max(o.Asked, 1)) }

// Result is what callers and instances saw.
type Result struct {
	// ByKind holds the callers' requests, All their sum.
	ByKind map[string]Outcome
	All    Outcome
	// Instances are what each instance saw, by name.
	Instances map[string]*Seen
	// Repeats are the arrivals of a service beyond the first of each request, in the
	// order of time.
	Repeats map[string][]time.Duration
	// Twice are the requests that must run once at most and ran again.
	Twice []string
	// Requests are the times of the callers' requests to a service.
	Requests map[string][]time.Duration
	// Crashes are what came of each crasher, by its path.
	Crashes map[string]*Crash
}

// Crash is what came of one crasher.
type Crash struct {
	// Arrivals are the times at which it reached instances, Ends those at which
	// instances ended under it.
	Arrivals, Ends []time.Duration
	// Served are the times at which its callers had a success.
	Served []time.Duration
}

// SentAfter counts the arrivals later than a time after the nth end.
func (c *Crash) SentAfter(n int, settle time.Duration) int {
	if len(c.Ends) < n {
		return 0
	}
	sent := 0
	for _, at := range c.Arrivals {
		if at > c.Ends[n-1]+settle {
			sent++
		}
	}
	return sent
}

// Seen is what one instance saw.
type Seen struct {
	Service string
	// Arrivals are the times at which requests came, from the first caller on.
	Arrivals []time.Duration
	// Sick are the times at which it was sick.
	Sick []Span
	// Busy is the time that its slots were taken by work, and Wasted the part of it
	// that ended in a failure.
	Busy, Wasted time.Duration
}

// Span is a span of time.
type Span struct{ From, To time.Duration }

// Well is the time of a span, from the first caller on, in which the instance was
// not sick.
func (s *Seen) Well(length time.Duration) time.Duration {
	well := length
	for _, span := range s.Sick {
		well -= max(min(span.To, length)-max(span.From, 0), 0)
	}
	return well
}

// SickIn says that the instance was sick at some moment of a span.
func (s *Seen) SickIn(from, to time.Duration) bool {
	for _, span := range s.Sick {
		if span.From < to && from < span.To {
			return true
		}
	}
	return false
}

// ArrivalsIn counts the requests that came in a span.
func (s *Seen) ArrivalsIn(from, to time.Duration) int {
	n := 0
	for _, at := range s.Arrivals {
		if from <= at && at < to {
			n++
		}
	}
	return n
}
