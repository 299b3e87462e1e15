package daemon

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/radishhoist/radishhoist/internal/state"
)

// adminHandler serves operators: readiness, metrics, state, status, explain.
// All of it only reads.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+state.ReadyPath, d.getReady)
	mux.HandleFunc("GET "+state.MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		d.front.Metrics().WritePrometheus(w)
		d.guard.Metrics().WritePrometheus(w)
		d.budget.Metrics().WritePrometheus(w)
		d.gauges.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET "+state.StatePath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, d.dump()) })
	mux.HandleFunc("GET "+state.StatusPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, d.status()) })
	mux.HandleFunc("GET "+state.ExplainPath, d.getExplain)
	return mux
}

// readyHandler serves readiness alone.
func (d *Daemon) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+state.ReadyPath, d.getReady)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// waiting says what keeps the process from taking traffic.
func (d *Daemon) waiting() []string {
	var out []string
	if !d.ready.Load() {
		out = append(out, "the whole record set, from the platform or a peer")
	}
	if d.stopped.Load() {
		out = append(out, "nothing: the process is shutting down")
	}
	if d.stopHost.Load() {
		out = append(out, "the end of a planned stop of this host: delete its Stop record to take work again")
	}
	return out
}

func (d *Daemon) getReady(w http.ResponseWriter, _ *http.Request) {
	waiting := d.waiting()
	status := http.StatusOK
	if len(waiting) > 0 {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, state.Ready{Ready: len(waiting) == 0, Waiting: waiting})
}

// phase names where the process is in its life.
func (d *Daemon) phase() string {
	switch {
	case d.stopped.Load():
		return "shutting down"
	case d.stopHost.Load():
		return "planned stop"
	case d.ready.Load():
		return "serving"
	default:
		return "starting"
	}
}

func (d *Daemon) dump() state.Dump {
	cfg := d.cfg.Load()
	return state.Dump{
		Host: cfg.Host, DC: cfg.DC, Started: d.started.UTC().Format(time.RFC3339), Phase: d.phase(),
		Waiting: d.waiting(), Instances: d.guard.State(), Suspects: d.guard.Suspects(), Services: d.front.Status(), Teams: d.teams.State(), Paths: d.front.Paths(),
		Control: d.control.State(), Peers: d.pool.Stats(), Shards: d.keys.State(),
	}
}

func (d *Daemon) status() state.Status {
	cfg := d.cfg.Load()
	s := state.Status{Host: cfg.Host, DC: cfg.DC, PID: os.Getpid(), Phase: d.phase(), Services: d.front.Status(), Control: d.control.State()}
	for _, inst := range d.guard.State() {
		s.Running += inst.Running
		s.Queued += inst.Queued
	}
	return s
}

func (d *Daemon) getExplain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	u, err := url.Parse(q.Get("url"))
	if err != nil || u.Path == "" {
		http.Error(w, "url: write a URL with a path, for example http://plans.example/plans/7", http.StatusBadRequest)
		return
	}
	host := u.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	writeJSON(w, http.StatusOK, d.front.Explain(q.Get("method"), host, u.Path, q.Get("team")))
}
