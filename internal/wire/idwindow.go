package wire

// idWindowSize is how far a stream ID may lag behind the highest one and still
// open a stream.
const idWindowSize = 2 * maxStreams

// idWindow is a sliding bitmap of the stream IDs that have been opened. It keeps a
// late or duplicate first message from opening a stream twice. Peers assign
// ascending IDs, but may send first messages slightly out of order.
type idWindow struct {
	highest uint64
	bits    [idWindowSize / 64]uint64
}

// addIfNew records id and reports whether it was absent. IDs below the window count
// as present.
func (w *idWindow) addIfNew(id uint64) bool {
	if id+idWindowSize <= w.highest {
		return false
	}
	for w.highest < id {
		if id-w.highest > idWindowSize {
			w.bits = [idWindowSize / 64]uint64{}
			w.highest = id
			break
		}
		w.highest++
		w.clear(w.highest)
	}
	word, bit := w.locate(id)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

func (w *idWindow) clear(id uint64) {
	word, bit := w.locate(id)
	*word &^= bit
}

// locate returns the bitmap word of id and the mask of its bit.
func (w *idWindow) locate(id uint64) (*uint64, uint64) {
	slot := id % idWindowSize
	return &w.bits[slot/64], 1 << (slot % 64)
}
