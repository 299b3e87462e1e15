package wire

// idWindowSize is how far below the newest stream number an older one may
// still open, in stream numbers.
const idWindowSize = 2 * maxStreams

// idWindow remembers which stream numbers have been opened, so that a late or
// repeated first message never opens a stream twice. Peers number streams
// upwards but may send their first messages slightly out of order.
type idWindow struct {
	newest uint64
	bits   [idWindowSize / 64]uint64
}

// first reports whether id is seen for the first time, and marks it.
func (w *idWindow) first(id uint64) bool {
	if id+idWindowSize <= w.newest {
		return false
	}
	for w.newest < id {
		if id-w.newest > idWindowSize {
			w.bits = [idWindowSize / 64]uint64{}
			w.newest = id
			break
		}
		w.newest++
		w.clear(w.newest)
	}
	word, bit := w.at(id)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

func (w *idWindow) clear(id uint64) {
	word, bit := w.at(id)
	*word &^= bit
}

func (w *idWindow) at(id uint64) (*uint64, uint64) {
	slot := id % idWindowSize
	return &w.bits[slot/64], 1 << (slot % 64)
}
