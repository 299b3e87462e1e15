package record

import "time"

// Failure-detection presets of a Service.
const (
	// PresetQuick favours short detection times, for services whose users wait for the
	// response.
	PresetQuick = "quick"
	// PresetCareful favours few false ejections, for services with few slots.
	PresetCareful = "careful"
)

// Service describes one service of a customer.
type Service struct {
	// Office is the name of the customer that owns the service.
	Office string `json:"office"`
	// Preset selects the failure-detection parameters: PresetQuick or PresetCareful.
	Preset string `json:"preset"`
	// Floor is the minimum healthy capacity; no ejection reduces capacity below it.
	Floor Floor `json:"floor"`
	// RetryPercent limits retries and hedges to a percentage of original requests;
	// 0 means DefaultRetryPercent.
	RetryPercent int `json:"retryPercent,omitempty"`
	// ResponseBufferKB is the size in KB up to which a response is buffered until it is
	// complete; 0 means DefaultResponseBufferKB.
	ResponseBufferKB int `json:"answerBufferKB,omitempty"`
	// KeyShards is the number of shards for the service's idempotency keys;
	// 0 means DefaultKeyShards.
	KeyShards int `json:"keyShards,omitempty"`
	// KeyWindowSeconds is how long an idempotency key is remembered after its request
	// has finished; 0 means DefaultKeyWindowSeconds.
	KeyWindowSeconds int `json:"keyWindowSeconds,omitempty"`
}

// Floor is the minimum healthy capacity of a service. Both limits apply.
type Floor struct {
	// Percent is the percentage of the service's known slots.
	Percent int `json:"percent"`
	// Instances is the minimum number of instances; 0 means no minimum.
	Instances int `json:"instances,omitempty"`
}

// Defaults of Service fields.
const (
	DefaultRetryPercent     = 10
	DefaultResponseBufferKB = 256
	DefaultKeyShards        = 4
	DefaultKeyWindowSeconds = 600
)

const (
	maxRetryPercent     = 50
	maxResponseBufferKB = 8 << 10
	maxKeyShards        = 64
	maxKeyWindowSeconds = 86400
	maxFloorInstances   = 10000
)

func (s *Service) validate(f *fieldErrors) {
	if s.Office == "" {
		f.add("office", "is missing", "write the name of the office that owns the service")
	}
	if s.Preset != PresetQuick && s.Preset != PresetCareful {
		f.add("preset", "is "+quote(s.Preset), `write "quick" (faster detection) or "careful" (fewer false ejections)`)
	}
	f.checkRange("floor.percent", s.Floor.Percent, 1, 100)
	f.checkRange("floor.instances", s.Floor.Instances, 0, maxFloorInstances)
	f.checkRange("retryPercent", s.RetryPercent, 0, maxRetryPercent)
	f.checkRange("answerBufferKB", s.ResponseBufferKB, 0, maxResponseBufferKB)
	f.checkRange("keyShards", s.KeyShards, 0, maxKeyShards)
	f.checkRange("keyWindowSeconds", s.KeyWindowSeconds, 0, maxKeyWindowSeconds)
}

// RetryShare returns the retry budget as a fraction of original requests.
func (s *Service) RetryShare() float64 {
	return float64(orDefault(s.RetryPercent, DefaultRetryPercent)) / 100
}

// ResponseBufferBytes returns the response buffer size in bytes.
func (s *Service) ResponseBufferBytes() int {
	return orDefault(s.ResponseBufferKB, DefaultResponseBufferKB) << 10
}

// KeyShardCount returns the number of shards for idempotency keys.
func (s *Service) KeyShardCount() uint32 { return uint32(orDefault(s.KeyShards, DefaultKeyShards)) }

// KeyWindow returns how long an idempotency key is remembered after its request has
// finished.
func (s *Service) KeyWindow() time.Duration {
	return time.Duration(orDefault(s.KeyWindowSeconds, DefaultKeyWindowSeconds)) * time.Second
}

func orDefault(v, def int) int {
	if v == 0 {
		return def
	}
	return v
}

func quote(s string) string { return `"` + s + `"` }
