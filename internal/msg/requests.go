package msg

import "github.com/radishhoist/radishhoist/verdict"

//go:generate go tool msgp -o requests_gen.go -tests=false -io=false

//msgp:limit arrays:1200000 maps:64
//msgp:tuple Field AdmissionHints Load InstanceLoad LoadReport Sample Hello Reserve Grant Run Data End Cancel Window Fail Head Ping Pong
//msgp:shim verdict.Verdict as:uint8 using:uint8/verdict.Verdict
//msgp:shim verdict.Reason as:string using:string/verdict.Reason

// Field is one HTTP header field.
type Field struct {
	Name  string
	Value string
}

// Load is the load and health of one instance, as known to its guard when it sent the
// message.
type Load struct {
	Slots   uint32
	Running uint32
	Queued  uint32
	// WaitingMS is the queued work per priority, in milliseconds of one slot. A new
	// request waits only for the work of its own and of higher priorities.
	WaitingMS [4]uint32
	// Health is the guard's assessment of the instance, see detect.Health.
	Health uint8
	// Evidence is the detector's score, in hundredths of a nat.
	Evidence uint32
	// FailureEstimate is the guard's estimate of the probability that the instance
	// currently fails most of its requests, in thousandths.
	FailureEstimate uint16
	// ShedShare is the share of recent requests that the instance refused although it
	// had a free slot, in thousandths. Guards with LearnRefusals count all that it refused.
	ShedShare uint16
	// RetryBudgetLeft is the number of retries left in the guard's part of the service's
	// retry budget.
	RetryBudgetLeft uint16
	// RetryBudgetOverdrawn reports that the guard's part of the retry budget was used up
	// and that the request may have been a call made by a retried run: the host where the
	// request originates makes too many retries.
	RetryBudgetOverdrawn bool
	// WantsTrial reports that the guard would like to receive a request: the instance is
	// idle, or its health is uncertain and an idempotent request would reveal it.
	WantsTrial bool
}

// FailureProbability returns FailureEstimate as a probability.
func (l Load) FailureProbability() float64 { return float64(l.FailureEstimate) / Thousandths }

// Thousandths is the value that represents 1 in the fields given in thousandths.
const Thousandths = 1000

// InstanceLoad is the Load of one named instance.
type InstanceLoad struct {
	Service  string
	Instance string
	Load     Load
}

// LoadReport tells fronts about changes in the load or health of a guard's instances.
type LoadReport struct {
	// Forward asks the receiver to forward the report within its data centre.
	Forward bool
	Loads   []InstanceLoad `msg:"loads,limit=256"`
}

// Sample is the latest latency that a front observed at another instance of the same
// service. It is sent along with requests, so that a guard can compare its instances
// with those of other guards without separate messages.
type Sample struct {
	// Instance is a hash of the instance's name, or 0 if there is no sample.
	Instance uint64
	// LatencyRatio is the service time relative to the usual service time of the route,
	// because service times differ between routes, in thousandths.
	LatencyRatio uint32
}

// Hello is the first message on a connection and identifies the sender.
type Hello struct {
	Proto       uint32
	Host        string
	DC          string
	Incarnation uint64
}

// AdmissionHints is what a front tells the guard about a request for its admission: the
// latency objective and the request's share in the retry budget.
type AdmissionHints struct {
	// ObjectiveMS is the latency objective in milliseconds, counted from the arrival of the
	// request at the front, and ElapsedMS the time since then.
	ObjectiveMS uint32
	ElapsedMS   uint32
	// ExpectedMS is the expected service time in milliseconds, or 0 if unknown.
	ExpectedMS uint32
	// AllowLate asks to queue the request even if it would miss the objective.
	AllowLate bool
	// UsesRetryBudget reports that the request may have reached an instance before, and
	// Hedge that it is in progress at another one.
	UsesRetryBudget, Hedge bool
	// NestedRetryChance is the probability that the request, if it is a call, was made by
	// a retried run, in thousandths. The retry budget counts that fraction of it.
	NestedRetryChance uint16
	// OriginIdle reports that nothing was running on the host where the request
	// originates, and Route is a hash of the route's name. Together they show which
	// routes serve calls made by other requests.
	OriginIdle bool
	Route      uint32
	// Fingerprint identifies the request when it is sent again, see crash.Fingerprint.
	// It is 0 if there is none.
	Fingerprint uint64
}

// Reserve asks a guard for a slot before a request that is not idempotent.
type Reserve struct {
	RequestID string
	Service   string
	Instance  string
	// TimeoutMS is the time until the caller's deadline, in milliseconds.
	TimeoutMS uint32
	// Class is the hash of the name of the team for which the request counts. Older fronts
	// send its remainder modulo admit.Classes.
	Class    uint32
	Priority uint8
	// SubPriority orders requests of one priority, see admit.Request.
	SubPriority uint8
	Hints       AdmissionHints
	Sample      Sample
}

// Grant confirms the slot that Reserve asked for.
type Grant struct {
	// TTLMS is how long the guard reserves the slot, in milliseconds by its own clock.
	TTLMS uint32
	Load  Load
}

// Run tells a guard to run a request. With Reserved, it uses the slot granted on the same
// stream; without, the guard admits and runs the request in one step.
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
	// Shard and Epoch are those of the claim of the request's idempotency key. They fence
	// the run: the guard refuses it if it knows a greater epoch of the shard. Epoch is 0
	// for a run without a claim.
	Shard  uint32
	Epoch  uint64
	Method string
	URI    string
	Host   string
	Header []Field `msg:"header,limit=256"`
	// BodyLength is the length of the body in bytes, or -1 if unknown.
	BodyLength int64
	Sample     Sample
}

// Data is a chunk of a request or response body, of at most ChunkSize bytes.
type Data struct {
	Bytes []byte
}

// End ends a body in either direction. Its length and hash show whether the body
// arrived complete and unchanged.
type End struct {
	Length uint64
	// Hash is the xxhash64 of the whole body.
	Hash uint64
	// ServiceUS is the service time of the target in microseconds; it is set for responses
	// only.
	ServiceUS uint32
	// QueueUS is the time in the guard's queue in microseconds; it is set for responses
	// only.
	QueueUS uint32
	Load    Load
}

// Cancel asks the guard to abort the request.
type Cancel struct{}

// Window returns flow-control credit to the sender of body bytes that were consumed.
type Window struct {
	Bytes uint32
}

// Fail ends a stream without a complete response.
type Fail struct {
	Verdict      verdict.Verdict
	Reason       verdict.Reason
	Detail       string
	RetryAfterMS uint32
	Load         Load
}

// Head is the status and header of a response.
type Head struct {
	RequestID string
	Status    uint16
	Header    []Field `msg:"header,limit=256"`
	// Length is the declared length of the body in bytes, or -1 if unknown.
	Length int64
}

// Ping asks the other end of a connection for a Pong, to distinguish a slow response from
// a broken path.
type Ping struct{}

// Pong answers Ping.
type Pong struct{}
