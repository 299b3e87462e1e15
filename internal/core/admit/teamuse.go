package admit

// TeamUse is the use of one team at a Queue: the decayed mean number of slots in use.
type TeamUse struct {
	Team     uint32
	SlotTime float64
}

// Use returns the use of each team. The queue does not measure it yet.
func (q *Queue) Use() []TeamUse { return nil }

// SetFleetUse sets the mean use of each team over the guards of the service. The queue does
// not apply it yet.
func (q *Queue) SetFleetUse(map[uint32]float64) {}
