package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: objects by kind and name, one
// revision counter, lists, watches, conditional writes. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	objects  map[string]map[string]*object
	events   []event
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// pageSize is the number of objects in one page of a list.
const pageSize = 500

func newStore() *store {
	return &store{changed: make(chan struct{}), revision: 1, objects: make(map[string]map[string]*object)}
}

// record appends an event. The caller holds the lock.
func (s *store) record(kind string, o object, deleted bool) {
	s.events = append(s.events, event{kind: kind, revision: s.revision, Object: o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put creates or replaces an object without a condition, as the operator does.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

// write stores a new spec. The caller holds the lock.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	s.revision++
	byName := s.objects[kind]
	if byName == nil {
		byName = make(map[string]*object)
		s.objects[kind] = byName
	}
	o, ok := byName[name]
	if !ok {
		o = &object{Metadata: metadata{Name: name, Created: s.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
		byName[name] = o
	}
	o.Spec, o.Metadata.Revision = spec, s.revision
	s.record(kind, *o, false)
	return *o
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP implements the object calls, whose paths end in KIND[/NAME[/status]].
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, names.ObjectsPath)
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, part, _ := strings.Cut(name, "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.change(w, r, kind, name, part)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	names := []string{}
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	if more {
		names = names[:pageSize]
	}
	items := []object{}
	for _, name := range names {
		items = append(items, *s.objects[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get(names.WatchWait))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > from {
				found = append(found, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": found, "at": at})
			return
		case <-r.Context().Done():
			// The store turns the caller away, or the caller has gone.
			reply(w, http.StatusServiceUnavailable, nil)
			return
		}
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, o)
}

// change handles POST, PUT and DELETE.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name, part string) {
	var body object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	condition := body.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		condition, _ = strconv.ParseInt(q, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	o, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && condition != 0 && condition != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
	case r.Method == http.MethodPost:
		reply(w, http.StatusOK, s.write(kind, name, body.Spec))
	case !exists:
		reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodPut && part == "status":
		s.revision++
		o.Status, o.Metadata.Revision = body.Status, s.revision
		s.record(kind, *o, false)
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodPut && bytes.Equal(o.Spec, body.Spec):
		// A PUT that changes nothing does not increment the revision.
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodPut:
		reply(w, http.StatusOK, s.write(kind, name, body.Spec))
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		s.record(kind, *o, true)
		reply(w, http.StatusOK, o)
	default:
		reply(w, http.StatusMethodNotAllowed, nil)
	}
}
