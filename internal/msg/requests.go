package msg

import "github.com/radishhoist/radishhoist/verdict"

//go:generate go tool msgp -o requests_gen.go -tests=false -io=false

//msgp:limit arrays:1200000 maps:64
//msgp:tuple Field Aim Load InstanceLoad Pulse Sample Hello Reserve Grant Run Data End Cancel Window Fail Head Ping Pong
//msgp:shim verdict.Verdict as:uint8 using:uint8/verdict.Verdict
//msgp:shim verdict.Reason as:string using:string/verdict.Reason

// Field is one HTTP header field.
type Field struct {
	Name  string
	Value string
}

// Load is a guard's exact count for one instance at the moment it was sent.
type Load struct {
	Slots   uint32
	Running uint32
	Queued  uint32
	// WaitingMS is the work that waits at each priority, in milliseconds of one
	// slot: a newcomer waits behind its own and the higher ones only.
	WaitingMS [4]uint32
	// Health is the guard's judgement of the instance, see detect.Health.
	Health uint8
	// Evidence is the detector's score, in hundredths of a nat.
	Evidence uint32
	// FailureEstimate is the guard's estimate of the chance that the instance is failing
	// most of its requests at present, in thousandths.
	FailureEstimate uint16
	// ShedShare is the share of recent requests that the instance refused though it
	// had a free slot, in thousandths.
	ShedShare uint16
	// RetryBudgetLeft is how many repeats the guard's part of the service's retry
	// budget has left.
	RetryBudgetLeft uint16
	// RetryBudgetOverdrawn says that the request may have been a call of a repeated run, and
	// that no repeat is left here: the host where it began makes too many.
	RetryBudgetOverdrawn bool
	// WantsTrial says that the guard would like a request: the instance has nothing to
	// do, or is in doubt and one that can be repeated would tell how it is.
	WantsTrial bool
}

// FailureProbability is Sick as a probability.
func (l Load) FailureProbability() float64 { return float64(l.FailureEstimate) / Thousandths }

// Thousandths is the scale of Load.Sick and Sample.Pace: what is sent for 1.
const Thousandths = 1000

// InstanceLoad is the Load of one named instance.
type InstanceLoad struct {
	Service  string
	Instance string
	Load     Load
}

// LoadReport tells fronts what has changed at a guard's instances.
type LoadReport struct {
	// Forward asks the receiver to pass the pulse on in its data centre.
	Forward bool
	Loads   []InstanceLoad `msg:"loads,limit=256"`
}

// Sample is the last pace a front saw at some other instance of the same
// service. It rides on requests so that a guard can compare its own instances
// with their peers without any message of its own.
type Sample struct {
	// Instance is a hash of the instance's name, 0 for no sample.
	Instance uint64
	// LatencyRatio is the service time in thousandths of what the route's requests
	// usually take: routes ask for work of different length.
	LatencyRatio uint32
}

// Hello opens a connection.
type Hello struct {
	Proto       uint32
	Host        string
	DC          string
	Incarnation uint64
}

// AdmissionHints is what a front tells of a request's worth in time and of its part in the
// retry budget, for the guard's admission.
type AdmissionHints struct {
	// ObjectiveMS is the time from the caller's send in which the answer is
	// worth its whole value, and UsedMS how much of it has gone.
	ObjectiveMS uint32
	UsedMS      uint32
	// ExpectedMS is how long the request is expected to run, 0 where unknown.
	ExpectedMS uint32
	// AllowLate takes a place in the queue also where it would miss the objective.
	AllowLate bool
	// UsesRetryBudget says that the request may have arrived at an instance before, and
	// Hedge that it is under way at one.
	UsesRetryBudget, Hedge bool
	// NestedRetryChance is the chance that the request is a call of a repeated run, in
	// thousandths, if it is a call: it counts for so much in the retry budget.
	NestedRetryChance uint16
	// OriginIdle says that nothing ran on the host where the request began, and Route
	// is a hash of its route's name: together they tell which routes are calls.
	OriginIdle bool
	Route      uint32
	// Fingerprint is what the request is known by when it comes again, see crash.Fingerprint; 0 is
	// nothing.
	Fingerprint uint64
}

// Reserve asks a guard for a slot before a request that is not idempotent.
type Reserve struct {
	RequestID string
	Service   string
	Instance  string
	// TimeoutMS is the time left to the caller's deadline, in milliseconds.
	TimeoutMS uint32
	// Class is the hashed fairness class of the caller's team.
	Class    uint32
	Priority uint8
	// SubPriority orders requests of one priority, see admit.Request.
	SubPriority uint8
	Hints       AdmissionHints
	Sample      Sample
}

// Grant gives the slot that Reserve asked for.
type Grant struct {
	// TTLMS is how long the guard holds the slot, on the guard's clock.
	TTLMS uint32
	Load  Load
}

// Run tells a guard to run a request. With Reserved it uses up a Grant on the
// same stream; without, the guard admits and runs in one step.
type Run struct {
	RequestID   string
	Service     string
	Instance    string
	TimeoutMS   uint32
	Class       uint32
	Priority    uint8
	SubPriority uint8
	Hints       AdmissionHints
	Reserved    bool
	Idempotent  bool
	// Shard and Epoch fence a run that was claimed by key; Epoch 0 is none.
	Shard  uint32
	Epoch  uint64
	Method string
	URI    string
	Host   string
	Header []Field `msg:"header,limit=256"`
	// BodyLength is the body's length in bytes, -1 where it is not known.
	BodyLength int64
	Sample     Sample
}

// Data is a piece of a request or answer body, at most ChunkSize bytes.
type Data struct {
	Bytes []byte
}

// End closes a body in either direction and proves it whole.
type End struct {
	Length uint64
	// Hash is the xxhash64 of the whole body.
	Hash uint64
	// ServiceUS is the target's own time in microseconds, answers only.
	ServiceUS uint32
	// QueueUS is the time spent waiting at the guard, answers only.
	QueueUS uint32
	Load    Load
}

// Cancel asks the guard to give the request up.
type Cancel struct{}

// Window returns credit for body bytes that have been consumed.
type Window struct {
	Bytes uint32
}

// Fail ends a stream without a whole answer.
type Fail struct {
	Verdict      verdict.Verdict
	Reason       verdict.Reason
	Detail       string
	RetryAfterMS uint32
	Load         Load
}

// Head is the start of an answer.
type Head struct {
	RequestID string
	Status    uint16
	Header    []Field `msg:"header,limit=256"`
	// Length is the body's declared length in bytes, -1 where not known.
	Length int64
}

// Ping asks the other end of a connection for a Pong, to tell a slow answer
// from a path that is cut.
type Ping struct{}

// Pong answers Ping.
type Pong struct{}
