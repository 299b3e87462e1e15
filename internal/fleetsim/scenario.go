// Package fleetsim simulates a whole fleet in virtual time. It uses the real fronts and guards,
// with pipes in place of sockets, and simulates instances and callers. Membership and the
// platform are left out: every host knows all others from the start.
//
// Tests use it to apply a load and check the responses that callers get. It runs within a bubble
// of testing/synctest: a minute under heavy load takes seconds and does not depend on the wall
// clock.
package fleetsim

import "time"

// Service is one service of a Scenario.
type Service struct {
	Name             string
	Instances, Slots int
}

// RequestKind is one kind of request.
type RequestKind struct {
	// Name is the name of the kind's route, which leads to Service.
	Name, Service string
	// RatePerSecond is the rate at which callers send the kind, 0 if only instances call it.
	RatePerSecond float64
	// ServiceTime is the mean time that an instance takes.
	ServiceTime         time.Duration
	Objective, Deadline time.Duration
	Idempotent          bool
	Priority            int
	MaxAttempts         int
	// SharedPath makes all requests of the kind use one path.
	SharedPath bool
	// ResponseBytes is the size of the response body, 0 for two bytes.
	ResponseBytes int
	// CalledKind is the kind that an instance calls while it runs a request of this one, with
	// probability CallProbability.
	CalledKind      string
	CallProbability float64
}

// Health is a model of instances that alternate between healthy and sick, independently of each
// other.
type Health struct {
	// MeanHealthy and MeanSick are the mean durations of the two states. Instances are never sick
	// if MeanSick is 0.
	MeanHealthy, MeanSick time.Duration
	// SickFailureRate is the share of requests that a sick instance fails at once.
	// HealthyFailureRate is the share that any instance fails at the end of the run.
	SickFailureRate, HealthyFailureRate float64
}

// CrashingRequest is a request that crashes every instance that runs it. Callers send it
// repeatedly, with the same path.
type CrashingRequest struct {
	// Kind is the kind of the request, and Path its path.
	Kind, Path string
	// RatePerSecond is the rate at which callers send it, from random hosts.
	RatePerSecond float64
	// CrashDelay is the time from the start of its run to the crash.
	CrashDelay time.Duration
	// OldVersionOnly limits the crashes to instances of the old version.
	OldVersionOnly bool
	// CallerKind is the kind that callers send instead and whose runs call the crashing
	// request. It is empty if callers send the crashing request themselves.
	CallerKind string
}

// callerPath returns the path of the requests whose runs call the crashing request.
func (c *CrashingRequest) callerPath() string { return "/" + c.CallerKind + "/calls" + c.Path }

// InstanceLoss crashes some instances of a service at the same time, whatever they run.
type InstanceLoss struct {
	At      time.Duration
	Service string
	// Instances is the number of instances lost.
	Instances int
}

// Partition separates one data centre, or its whole area, from the others for a time. No
// stream can be opened between them, and other messages are delayed until the first repair
// after it.
type Partition struct {
	At, Duration time.Duration
	// DC is the index of the data centre.
	DC int
	// WholeArea separates the area of the data centre.
	WholeArea bool
}

// Scenario describes one simulation.
type Scenario struct {
	// DCs is the number of data centres that the hosts are distributed over. RemoteDelay is the
	// one-way delay of a message between two of them, LocalDelay within one.
	DCs                     int
	RemoteDelay, LocalDelay time.Duration
	Areas                   Areas
	Services                []Service
	Kinds                   []RequestKind
	Health                  Health
	// MixedVersionService is a service of which every second instance runs a new software version.
	MixedVersionService string
	// CrashingRequests crash instances. A crashed instance restarts after RestartDelay under a new
	// name.
	CrashingRequests []CrashingRequest
	RestartDelay     time.Duration
	// Losses crash instances independently of requests.
	Losses []InstanceLoss
	// RateLimits make instances state a rate limit.
	RateLimits []RateLimit
	// Refusals make instances refuse requests.
	Refusals []Refusal
	// LearnRefusals is the setting of that name of all hosts.
	LearnRefusals bool
	// Leavings make instances state that they are leaving.
	Leavings []Leaving
	// HostRestarts and HostFreezes disturb the daemons of hosts; their instances go on.
	HostRestarts []HostRestart
	HostFreezes  []HostFreeze
	// Partitions separate data centres from the others.
	Partitions []Partition
	// RetryPercent and RetryReserve are the retry budget of a service in RetryWindow.
	RetryPercent int
	RetryReserve float64
	RetryWindow  time.Duration
	// HealthOracle reports the true health of every instance to all fronts at once. A real policy
	// can only estimate health, so the result is an upper bound for it.
	HealthOracle bool
	// WarmUp is how long the fleet runs before callers start to send, Duration how long they
	// send.
	WarmUp, Duration time.Duration
	Seed             uint64
}

// Outcome counts the requests of one kind by their outcome. Blocked counts those refused
// because they are known to crash their targets; they are also counted by status.
type Outcome struct {
	Sent, InTime, Late, Refused, Failed, Blocked int
}

// Served returns the share of the requests that got a complete response.
func (o Outcome) Served() float64 { return float64(o.InTime+o.Late) / float64(max(o.Sent, 1)) }

// Result is what callers and instances observed.
type Result struct {
	// ByKind are the outcomes of the callers' requests, Total is their sum.
	ByKind map[string]Outcome
	Total  Outcome
	// Instances are the statistics of each instance, by name.
	Instances map[string]*InstanceStats
	// Retries are the times at which requests reached instances of a service again, in
	// chronological order.
	Retries map[string][]time.Duration
	// RunTwice are the IDs of requests that are not idempotent and reached instances more than
	// once without being refused there, one entry for each further arrival.
	RunTwice []string
	// RequestTimes are the times at which callers sent requests to a service.
	RequestTimes map[string][]time.Duration
	// CrashingRequests are the statistics of each crashing request, by path.
	CrashingRequests map[string]*CrashStats
	// RateLimited are the statistics of instances that stated a rate limit, by the name of
	// their incarnation.
	RateLimited map[string]*RateLimitStats
	// LateArrivals are the requests that reached an instance although their host had passed
	// on that it is leaving, by the name of its incarnation.
	LateArrivals map[string]int
	// FrozenInstances are the names of the instances whose host freezes.
	FrozenInstances map[string]bool
	// LeavingResponses is the number of responses by which instances stated it.
	LeavingResponses int
	// AreaBytes are the bytes of requests and responses between areas in both directions, by
	// second since the start of the callers.
	AreaBytes []int
	// LinkFull is the time for which new bytes would wait longer than linkFullWait for the link
	// between areas, summed over its directions.
	LinkFull time.Duration
	// LinkUse is the sum of the use of the link between two areas as a share of its capacity, over
	// hosts and seconds, and LinkUseError that of the errors of the hosts' estimates.
	LinkUse, LinkUseError float64
	// SpillChanges is the number of changes of the hosts that are up at the end between
	// sending requests of a route to another area and not.
	SpillChanges int
}

// CrashStats are the observations of one crashing request.
type CrashStats struct {
	// Arrivals are the times at which the request reached instances, Crashes those at which
	// instances crashed while running it.
	Arrivals, Crashes []time.Duration
	// Successes are the times at which its callers got a successful response.
	Successes []time.Duration
}

// ArrivalsAfterCrash counts the arrivals more than a delay after the nth crash.
func (c *CrashStats) ArrivalsAfterCrash(n int, delay time.Duration) int {
	if len(c.Crashes) < n {
		return 0
	}
	count := 0
	for _, at := range c.Arrivals {
		if at > c.Crashes[n-1]+delay {
			count++
		}
	}
	return count
}

// InstanceStats are the observations of one instance.
type InstanceStats struct {
	Service string
	// Arrivals are the times at which requests arrived, relative to the start of the callers.
	Arrivals []time.Duration
	// SickSpans are the times during which the instance was sick.
	SickSpans []Span
	// BusyTime is the total run time of requests, FailedTime the part of it spent on requests
	// that failed.
	BusyTime, FailedTime time.Duration
}

// Span is a period of time, relative to the start of the callers.
type Span struct{ From, To time.Duration }

// HealthyTime returns how long the instance was healthy within the given time from the start of the
// callers.
func (s *InstanceStats) HealthyTime(length time.Duration) time.Duration {
	healthy := length
	for _, span := range s.SickSpans {
		healthy -= max(min(span.To, length)-max(span.From, 0), 0)
	}
	return healthy
}

// SickDuring reports whether the instance was sick at any moment of a span.
func (s *InstanceStats) SickDuring(from, to time.Duration) bool {
	for _, span := range s.SickSpans {
		if span.From < to && from < span.To {
			return true
		}
	}
	return false
}

// ArrivalsDuring counts the requests that arrived in a span.
func (s *InstanceStats) ArrivalsDuring(from, to time.Duration) int {
	n := 0
	for _, at := range s.Arrivals {
		if from <= at && at < to {
			n++
		}
	}
	return n
}
