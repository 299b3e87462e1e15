package platformd

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
)

// Faults are the faults that the stand-in injects, set by PUT /standin/faults.
type Faults struct {
	// Outage makes every call fail with 503.
	Outage bool `json:"outage"`
	// SlowMS delays every call by that many milliseconds.
	SlowMS int `json:"slowMS"`
	// Silent accepts calls without responding to them or to calls in progress. Their
	// connections stay open and get no response even after Silent is cleared.
	Silent bool `json:"silent"`
	// DropResponses is the number of writes whose response is dropped. The writes
	// themselves are still processed.
	DropResponses int `json:"loseAnswers"`
}

// Counts are the numbers of calls that the stand-in has received.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Refused int64 `json:"refused"`
	// PID is the id of the process that responds.
	PID int `json:"pid"`
}

// Server serves a Store over HTTP.
type Server struct {
	Store *Store

	mu     sync.Mutex
	faults Faults
	counts Counts
}

// NewServer returns a Server with an empty store.
func NewServer() *Server { return &Server{Store: NewStore()} }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the current call counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.PID = os.Getpid()
	return counts
}

// Handler returns the handler of the HTTP API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.withFaults(&s.counts.Reads, s.get))
	mux.HandleFunc("GET /v1/objects", s.withFaults(&s.counts.Reads, s.list))
	mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.withFaults(&s.counts.Writes, s.put))
	mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.withFaults(&s.counts.Writes, s.delete))
	mux.HandleFunc("GET /v1/watch", s.withFaults(&s.counts.Watches, s.watch))
	mux.HandleFunc("GET /standin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Counts()) })
	mux.HandleFunc("PUT /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
		writeJSON(w, http.StatusOK, f)
	})
	mux.HandleFunc("PUT /standin/rewind", s.rewind)
	return mux
}

// Rewind is the body of PUT /standin/rewind, which restores the store as it was before its
// latest revisions.
type Rewind struct {
	Revisions int `json:"revisions"`
}

func (s *Server) rewind(w http.ResponseWriter, r *http.Request) {
	var body Rewind
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Store.Rewind(body.Revisions)
	w.WriteHeader(http.StatusNoContent)
}

// withFaults counts a call and applies the injected faults to it.
func (s *Server) withFaults(count *int64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		*count++
		f := s.faults
		if f.Outage {
			s.counts.Refused++
		}
		s.mu.Unlock()
		if f.SlowMS > 0 {
			time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
		}
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		recorder := httptest.NewRecorder()
		if !f.Silent {
			next(recorder, r)
		}
		if s.silent() {
			// The server notices that the client disconnects only once the body is
			// read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", recorder.Header().Get("Content-Type"))
		w.Header().Set(objects.HistoryHeader, strconv.FormatInt(s.Store.History(), 10))
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}
}

// silent reports whether calls currently get no response.
func (s *Server) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Silent
}

// dropResponse reports whether the response of this write is to be dropped, and
// counts it.
func (s *Server) dropResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropResponses <= 0 {
		return false
	}
	s.faults.DropResponses--
	return true
}

func pathKey(r *http.Request) record.Key {
	return record.Key{Kind: record.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	obj, ok := s.Store.Get(pathKey(r))
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, obj)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	var kinds []record.Kind
	for _, k := range r.URL.Query()["kind"] {
		kinds = append(kinds, record.Kind(k))
	}
	writeJSON(w, http.StatusOK, s.Store.List(kinds))
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, record.MaxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	ifVersion, err := intQuery(r, "ifVersion")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	obj, ok := s.Store.Put(pathKey(r), value, ifVersion)
	s.writeResult(w, obj, ok)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	ifVersion, err := intQuery(r, "ifVersion")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	obj, ok := s.Store.Delete(pathKey(r), ifVersion)
	s.writeResult(w, obj, ok)
}

func (s *Server) writeResult(w http.ResponseWriter, obj objects.Object, ok bool) {
	if s.dropResponse() {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
	}
	writeJSON(w, status, obj)
}

// maxWatchWait is the longest time for which a watch is held open.
const maxWatchWait = time.Minute

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := intQuery(r, "after")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitMS, _ := intQuery(r, "waitMS")
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for {
		page, retained, changed := s.Store.EventsAfter(after)
		if !retained {
			http.Error(w, "compacted", http.StatusGone)
			return
		}
		if len(page.Objects) > 0 {
			writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func intQuery(r *http.Request, name string) (int64, error) {
	return strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
