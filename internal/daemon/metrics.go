package daemon

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/radishhoist/radishhoist/internal/control"
	"github.com/radishhoist/radishhoist/internal/guard"
	"github.com/radishhoist/radishhoist/internal/teams"
)

// newGauges returns the gauges of readiness, guard, teams, control and keys, evaluated on
// each scrape. docs/operate/metrics.md lists them.
func (d *Daemon) newGauges() *metrics.Set {
	set := metrics.NewSet()
	set.NewGauge("radishhoist_ready", func() float64 { return boolToFloat(len(d.notReadyReasons()) == 0) })
	set.NewGauge("radishhoist_instances", func() float64 { return float64(len(d.guard.State())) })
	set.NewGauge("radishhoist_instances_suspect", d.sumInstances(func(i guard.InstanceState) int { return int(boolToFloat(i.Suspect())) }))
	set.NewGauge("radishhoist_instance_sick_max", func() float64 {
		worst := 0.0
		for _, i := range d.guard.State() {
			worst = max(worst, i.FailureEstimate)
		}
		return worst
	})
	set.NewGauge("radishhoist_slots_withheld", d.sumInstances(func(i guard.InstanceState) int { return i.SlotsWithheld }))
	set.NewGauge("radishhoist_running", d.sumInstances(func(i guard.InstanceState) int { return i.Running }))
	set.NewGauge("radishhoist_queued", d.sumInstances(func(i guard.InstanceState) int { return i.Queued }))
	set.NewGauge("radishhoist_requests_stopped", func() float64 { return float64(d.guard.BlockedCount()) })
	set.NewGauge("radishhoist_teams_close", d.countTeams(func(s teams.State) bool { return s.NearLimit }))
	set.NewGauge("radishhoist_teams_alone", d.countTeams(func(s teams.State) bool { return s.Standalone }))
	set.NewGauge("radishhoist_team_shares_over", func() float64 { return float64(d.guard.TeamsOverShare()) })
	set.NewGauge("radishhoist_records", d.controlGauge(func(s control.State) float64 { return float64(s.Records) }))
	set.NewGauge("radishhoist_records_newest", d.controlGauge(func(s control.State) float64 { return float64(s.Newest) }))
	set.NewGauge("radishhoist_records_confirmed_age_seconds", func() float64 { return d.control.ConfirmedAge().Seconds() })
	set.NewGauge("radishhoist_records_rejected", d.controlGauge(func(s control.State) float64 { return float64(len(s.Rejected)) }))
	set.NewGauge("radishhoist_platform_away", d.controlGauge(func(s control.State) float64 { return boolToFloat(s.PlatformUnavailable) }))
	set.NewGauge("radishhoist_isolated", d.controlGauge(func(s control.State) float64 { return boolToFloat(s.Isolated) }))
	set.NewGauge("radishhoist_hosts_alive", d.controlGauge(countAliveHosts))
	set.NewGauge("radishhoist_control_bytes_sent", d.controlGauge(func(s control.State) float64 { return float64(s.Traffic.BytesOut) }))
	set.NewGauge("radishhoist_load_query_bytes_sent", d.controlGauge(func(s control.State) float64 { return float64(s.Traffic.LoadBytesOut) }))
	set.NewGauge("radishhoist_load_query_packets_sent", d.controlGauge(func(s control.State) float64 { return float64(s.Traffic.LoadPacketsOut) }))
	set.NewGauge("radishhoist_shards_held", func() float64 {
		held := 0
		for _, s := range d.keys.State() {
			held += int(boolToFloat(s.HasAuthority))
		}
		return float64(held)
	})
	return set
}

func (d *Daemon) countTeams(matches func(teams.State) bool) func() float64 {
	return func() float64 {
		n := 0.0
		for _, s := range d.teams.State() {
			n += boolToFloat(matches(s))
		}
		return n
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// countAliveHosts counts the hosts that are alive, this one included.
func countAliveHosts(s control.State) float64 {
	alive := 1
	for _, m := range s.Members {
		alive += int(boolToFloat(m.Status == "alive"))
	}
	return float64(alive)
}

func (d *Daemon) sumInstances(f func(guard.InstanceState) int) func() float64 {
	return func() float64 {
		sum := 0
		for _, i := range d.guard.State() {
			sum += f(i)
		}
		return float64(sum)
	}
}

func (d *Daemon) controlGauge(f func(control.State) float64) func() float64 {
	return func() float64 { return f(d.control.State()) }
}
