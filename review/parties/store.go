package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: objects by kind and name, one revision
// counter, lists, watches and conditional writes.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	kinds    map[string]map[string]*object
	history  []event
	// forgotten is the last revision whose event is no longer in history.
	forgotten int64
	server    *http.Server
	address   string
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type meta struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	Deleted  bool    `json:"deleted"`
	Object   *object `json:"object"`
	kind     string
	revision int64
}

const (
	pageItems = 500
	historyS  = 20 * time.Second
	storeWait = 4 * time.Millisecond
)

func newStore(l net.Listener) *store {
	s := &store{changed: make(chan struct{}), kinds: make(map[string]map[string]*object), revision: 1, address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc(names.Objects, s.serve)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeWait)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, names.Objects), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	query := r.URL.Query()
	var body object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			http.Error(w, "bad body", http.StatusBadRequest)
			return
		}
	}
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind, query.Get("watch"), query.Get(names.WaitMS))
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		defer s.mu.Unlock()
		if o, ok := s.kinds[kind][name]; ok {
			reply(w, http.StatusOK, o)
			return
		}
		reply(w, http.StatusNotFound, struct{}{})
	case r.Method == http.MethodPost:
		s.write(w, kind, body.Metadata.Name, body, true, false)
	case r.Method == http.MethodPut:
		s.write(w, kind, name, body, false, len(parts) > 2 && parts[2] == "status")
	case r.Method == http.MethodDelete:
		revision, _ := strconv.ParseInt(query.Get("revision"), 10, 64)
		s.remove(w, kind, name, revision)
	default:
		reply(w, http.StatusMethodNotAllowed, struct{}{})
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		b = []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0, len(s.kinds[kind]))
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageItems
	if more {
		names = names[:pageItems]
	}
	items := make([]*object, 0, len(names))
	for _, name := range names {
		items = append(items, s.kinds[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind, from, waitMS string) {
	after, _ := strconv.ParseInt(from, 10, 64)
	wait, _ := strconv.Atoi(waitMS)
	deadline := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		if after < s.forgotten || after > s.revision {
			s.mu.Unlock()
			reply(w, http.StatusGone, struct{}{})
			return
		}
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// record adds an event. The caller holds s.mu.
func (s *store) record(kind string, o *object, deleted bool) {
	s.history = append(s.history, event{Deleted: deleted, Object: o, kind: kind, revision: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(w http.ResponseWriter, kind, name string, body object, create, status bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.kinds[kind][name]
	switch {
	case create && exists, exists && body.Metadata.Revision != 0 && body.Metadata.Revision != current.Metadata.Revision:
		reply(w, http.StatusConflict, current)
		return
	case !create && !exists:
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	next := object{Metadata: meta{Name: name, Finalizers: []string{}}, Spec: body.Spec}
	if exists {
		next = *current
		if status {
			next.Status = body.Status
		} else {
			next.Spec, next.Metadata.Finalizers = body.Spec, body.Metadata.Finalizers
		}
		if string(next.Spec) == string(current.Spec) && string(next.Status) == string(current.Status) {
			reply(w, http.StatusOK, current)
			return
		}
	}
	s.revision++
	next.Metadata.Revision = s.revision
	if !exists {
		next.Metadata.Created = s.revision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]*object)
	}
	s.kinds[kind][name] = &next
	s.record(kind, &next, false)
	reply(w, http.StatusOK, &next)
}

func (s *store) remove(w http.ResponseWriter, kind, name string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.kinds[kind][name]
	switch {
	case !exists:
		reply(w, http.StatusNotFound, struct{}{})
		return
	case revision != 0 && revision != current.Metadata.Revision:
		reply(w, http.StatusConflict, current)
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.record(kind, current, true)
	reply(w, http.StatusOK, current)
}

// put writes an object as the operator.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := &object{Metadata: meta{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: raw}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]*object)
	}
	s.kinds[kind][name] = o
	s.record(kind, o, false)
}

// trim forgets the history older than historyS, given the revision that was current then.
func (s *store) trim(before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.history) > 0 && s.history[0].revision <= before {
		s.forgotten = s.history[0].revision
		s.history = s.history[1:]
	}
}

// keepHistory bounds the history until stop is closed.
func (s *store) keepHistory(stop <-chan struct{}) {
	for {
		s.mu.Lock()
		then := s.revision
		s.mu.Unlock()
		select {
		case <-time.After(historyS):
			s.trim(then)
		case <-stop:
			return
		}
	}
}
