package front

import (
	"maps"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
)

// leavingMark remembers that an instance has stated in a response that it is leaving. Its guard
// knows that too and refuses requests, but forgets it when its host restarts, and a delayed
// announcement may then make the instance look ready.
type leavingMark struct {
	at time.Time
	// incarnation is that of the host's process, and startedMS the start of the instance as
	// that process announced it.
	incarnation uint64
	startedMS   int64
}

// leavingMemory is how long a leavingMark is kept: longer than announcements are delayed.
const leavingMemory = 2 * time.Minute

// key identifies the instance of a target across versions of the directory.
func (t *target) key() string { return t.Name + "@" + t.Host.Name }

// Usable reports whether the target may get new requests, according to the directory and to
// its responses to this host. The caller must hold the service's lock.
func (t *target) Usable() bool { return !t.observed.leaving && t.Target.Usable() }

// UsableForShort reports whether the target may get new short idempotent requests only. The
// caller must hold the service's lock.
func (t *target) UsableForShort() bool { return !t.observed.leaving && t.Target.UsableForShort() }

// recordLeaving records that a response of a target states that it is leaving.
func (st *serviceState) recordLeaving(now time.Time, t *target) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if t.observed.leaving {
		return
	}
	t.observed.leaving = true
	st.leaving[t.key()] = leavingMark{at: now, incarnation: t.Host.Incarnation, startedMS: t.StartedMS}
	for _, current := range st.targets {
		// The directory may have changed since the request was sent.
		if current.key() == t.key() {
			current.observed.leaving = st.isLeaving(current)
		}
	}
	st.candidates.computedAt = time.Time{}
}

// isLeaving reports whether a target of a new directory is an instance that has stated that it
// is leaving. Another start announced by the same process of its host is a new one of the
// instance; one announced by another process may be the old one. The caller must hold st.mu.
func (st *serviceState) isLeaving(t *target) bool {
	mark, ok := st.leaving[t.key()]
	switch {
	case !ok:
		return false
	case mark.incarnation == t.Host.Incarnation && mark.startedMS != t.StartedMS:
		delete(st.leaving, t.key())
		return false
	}
	mark.incarnation, mark.startedMS = t.Host.Incarnation, t.StartedMS
	st.leaving[t.key()] = mark
	return true
}

// expireLeaving drops old marks. The caller must hold st.mu.
func (st *serviceState) expireLeaving(now time.Time) {
	maps.DeleteFunc(st.leaving, func(_ string, m leavingMark) bool { return now.Sub(m.at) > leavingMemory })
}

// statesLeaving reports whether a response states that its instance is leaving.
func (f *Front) statesLeaving(m *msg.Head) bool {
	name := f.cfg.Dialect.Leaving
	if name == "" {
		return false
	}
	for _, field := range m.Header {
		if field.Name == name && field.Value != "" {
			return true
		}
	}
	return false
}
