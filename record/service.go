package record

import "time"

// The detection presets of a Service.
const (
	// PresetQuick weighs detection time more: a family waits at a counter.
	PresetQuick = "quick"
	// PresetCareful weighs false ejections more: slots are few.
	PresetCareful = "careful"
)

// Service describes one service of an office.
type Service struct {
	// Office is the customer that owns the service.
	Office string `json:"office"`
	// Preset picks the detection parameters, "quick" or "careful".
	Preset string `json:"preset"`
	// Floor is the healthy capacity that ejection never goes below.
	Floor Floor `json:"floor"`
	// RetryPercent bounds retries and hedges as a share of fresh requests;
	// 0 means DefaultRetryPercent.
	RetryPercent int `json:"retryPercent,omitempty"`
	// AnswerBufferKB bounds the answer kept back until it is proved whole;
	// 0 means DefaultAnswerBufferKB.
	AnswerBufferKB int `json:"answerBufferKB,omitempty"`
	// KeyShards is the number of shards of the service's idempotency keys;
	// 0 means DefaultKeyShards.
	KeyShards int `json:"keyShards,omitempty"`
	// KeyWindowSeconds is how long a finished key is remembered;
	// 0 means DefaultKeyWindowSeconds.
	KeyWindowSeconds int `json:"keyWindowSeconds,omitempty"`
}

// Floor is the least healthy capacity of a service. Both bounds hold.
type Floor struct {
	// Percent is the share of the service's known slots.
	Percent int `json:"percent"`
	// Instances is a number of instances, 0 for none.
	Instances int `json:"instances,omitempty"`
}

// The defaults of a Service.
const (
	DefaultRetryPercent     = 10
	DefaultAnswerBufferKB   = 256
	DefaultKeyShards        = 4
	DefaultKeyWindowSeconds = 600
)

const (
	maxRetryPercent   = 50
	maxAnswerBufferKB = 8 << 10
	maxKeyShards      = 64
	maxKeyWindow      = 86400
	maxFloorInstances = 10000
)

func (s *Service) validate(f *faults) {
	if s.Office == "" {
		f.add("office", "is missing", "write the name of the office that owns the service")
	}
	if s.Preset != PresetQuick && s.Preset != PresetCareful {
		f.add("preset", "is "+quote(s.Preset), `write "quick" (detection time first) or "careful" (false ejections first)`)
	}
	f.between("floor.percent", s.Floor.Percent, 1, 100)
	f.between("floor.instances", s.Floor.Instances, 0, maxFloorInstances)
	f.between("retryPercent", s.RetryPercent, 0, maxRetryPercent)
	f.between("answerBufferKB", s.AnswerBufferKB, 0, maxAnswerBufferKB)
	f.between("keyShards", s.KeyShards, 0, maxKeyShards)
	f.between("keyWindowSeconds", s.KeyWindowSeconds, 0, maxKeyWindow)
}

// RetryShare is the retry budget as a fraction of fresh requests.
func (s *Service) RetryShare() float64 {
	return float64(orDefault(s.RetryPercent, DefaultRetryPercent)) / 100
}

// AnswerBuffer is the answer bound in bytes.
func (s *Service) AnswerBuffer() int {
	return orDefault(s.AnswerBufferKB, DefaultAnswerBufferKB) << 10
}

// Shards is the number of key shards.
func (s *Service) Shards() uint32 { return uint32(orDefault(s.KeyShards, DefaultKeyShards)) }

// KeyWindow is how long a finished key is remembered.
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
