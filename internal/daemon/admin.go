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

// adminHandler serves the read-only admin endpoints: readiness, metrics, state,
// status and explain.
func (d *Daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+state.ReadyPath, d.getReady)
	mux.HandleFunc("GET "+state.MetricsPath, func(w http.ResponseWriter, _ *http.Request) {
		d.front.Metrics().WritePrometheus(w)
		d.guard.Metrics().WritePrometheus(w)
		d.limitedStore.Metrics().WritePrometheus(w)
		d.gauges.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET "+state.StatePath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, d.dump()) })
	mux.HandleFunc("GET "+state.StatusPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, d.status()) })
	mux.HandleFunc("GET "+state.ExplainPath, d.getExplain)
	return mux
}

// readyHandler serves only the readiness endpoint.
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

// notReadyReasons lists what keeps the process from accepting traffic.
func (d *Daemon) notReadyReasons() []string {
	var out []string
	if !d.ready.Load() {
		out = append(out, "the complete record set, from the platform or a peer")
	}
	if d.shuttingDown.Load() {
		out = append(out, "nothing: the process is shutting down")
	}
	if d.plannedStop.Load() {
		out = append(out, "the end of a planned stop of this host: delete its Stop record to accept work again")
	}
	return out
}

func (d *Daemon) getReady(w http.ResponseWriter, _ *http.Request) {
	reasons := d.notReadyReasons()
	status := http.StatusOK
	if len(reasons) > 0 {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, state.Ready{Ready: len(reasons) == 0, NotReadyReasons: reasons})
}

// phase returns the life-cycle phase of the process.
func (d *Daemon) phase() string {
	switch {
	case d.shuttingDown.Load():
		return "shutting down"
	case d.plannedStop.Load():
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
		NotReadyReasons: d.notReadyReasons(), Instances: d.guard.State(), Suspects: d.guard.Suspects(), Services: d.front.Status(), Teams: d.teams.State(), TeamShares: d.guard.TeamShares(), Paths: d.front.Paths(),
		Control: d.control.State(), Peers: d.pool.Stats(), Memory: d.front.Memory(), Shards: d.keys.State(),
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
		http.Error(w, "url: must be a URL with a path, for example http://plans.example/plans/7", http.StatusBadRequest)
		return
	}
	host := u.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	writeJSON(w, http.StatusOK, d.front.Explain(q.Get("method"), host, u.Path, q.Get("team")))
}
