// Package platformd is a small stand-in for the platform's object API, for tests and
// the demo. It stores objects in memory and can simulate an outage, slow calls, calls
// without a response, and lost responses to writes that have taken effect.
package platformd

import (
	"maps"
	"slices"
	"sort"
	"sync"

	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
)

// maxEvents is the number of events that are retained for watches to resume from.
const maxEvents = 10000

// Store is a versioned in-memory object store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[record.Key]objects.Object
	events   []objects.Object
	// compacted is the revision of the newest event that is no longer retained.
	compacted int64
	// changed is closed and replaced at every successful write.
	changed chan struct{}
	// history counts the restorations.
	history int64
}

// Checkpoint is a copy of a Store at one time.
type Checkpoint struct {
	revision, compacted int64
	objects             map[record.Key]objects.Object
	events              []objects.Object
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{objects: make(map[record.Key]objects.Object), changed: make(chan struct{})}
}

// Checkpoint returns a copy of the current state.
func (s *Store) Checkpoint() Checkpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Checkpoint{revision: s.revision, compacted: s.compacted, objects: maps.Clone(s.objects), events: slices.Clone(s.events)}
}

// Restore replaces the state by an earlier one. What was written since is lost, and the
// revisions after the earlier state are given out again.
func (s *Store) Restore(c Checkpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.compacted = c.revision, c.compacted
	s.objects, s.events = maps.Clone(c.objects), slices.Clone(c.events)
	s.history++
}

// Rewind restores the state before the latest n revisions, as far as all events are retained.
func (s *Store) Rewind(n int) {
	s.mu.Lock()
	if s.compacted > 0 {
		s.mu.Unlock()
		return
	}
	c := Checkpoint{objects: make(map[record.Key]objects.Object), events: s.events[:max(len(s.events)-n, 0)]}
	s.mu.Unlock()
	for _, e := range c.events {
		c.revision = e.Version
		if e.Deleted {
			delete(c.objects, e.Key())
			continue
		}
		c.objects[e.Key()] = e
	}
	s.Restore(c)
}

// History returns the number of restorations.
func (s *Store) History() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history
}

// Get returns an object and whether it exists.
func (s *Store) Get(key record.Key) (objects.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[key]
	return obj, ok
}

// List returns the objects of the given kinds, sorted by key, or all objects if no
// kind is given.
func (s *Store) List(kinds []record.Kind) objects.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := objects.Page{Revision: s.revision, Objects: []objects.Object{}}
	for _, obj := range s.objects {
		if matchesKind(kinds, obj.Kind) {
			page.Objects = append(page.Objects, obj)
		}
	}
	sort.Slice(page.Objects, func(i, j int) bool {
		return page.Objects[i].Key().String() < page.Objects[j].Key().String()
	})
	return page
}

func matchesKind(kinds []record.Kind, k record.Kind) bool {
	for _, kind := range kinds {
		if kind == k {
			return true
		}
	}
	return len(kinds) == 0
}

// Put writes an object if its stored version equals ifVersion; 0 means that it must
// not exist. Otherwise it returns the stored object and false.
func (s *Store) Put(key record.Key, value []byte, ifVersion int64) (objects.Object, bool) {
	return s.write(objects.Object{Kind: key.Kind, Name: key.Name, Value: value}, ifVersion)
}

// Delete deletes an object if its stored version equals ifVersion. Otherwise it
// returns the stored object and false.
func (s *Store) Delete(key record.Key, ifVersion int64) (objects.Object, bool) {
	return s.write(objects.Object{Kind: key.Kind, Name: key.Name, Deleted: true}, ifVersion)
}

func (s *Store) write(obj objects.Object, ifVersion int64) (objects.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := obj.Key()
	current, ok := s.objects[key]
	if current.Version != ifVersion || (obj.Deleted && !ok) {
		current.Kind, current.Name = key.Kind, key.Name
		return current, false
	}
	s.revision++
	obj.Version = s.revision
	if obj.Deleted {
		delete(s.objects, key)
	} else {
		s.objects[key] = obj
	}
	s.events = append(s.events, obj)
	if len(s.events) > maxEvents {
		s.compacted = s.events[0].Version
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return obj, true
}

// EventsAfter returns the events after a revision, whether all of them are still
// retained, and a channel that is closed at the next change.
func (s *Store) EventsAfter(after int64) (objects.Page, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted || after > s.revision {
		return objects.Page{Revision: s.revision}, false, s.changed
	}
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > after })
	page := objects.Page{Revision: s.revision, Objects: append([]objects.Object{}, s.events[first:]...)}
	return page, true, s.changed
}
