package fleetsim

import "github.com/radishhoist/radishhoist/internal/msg"

// setTrueHealth replaces the guard's failure estimate by the true state of the instance, in a
// scenario with a health oracle.
func (i *instance) setTrueHealth(l *msg.Load) {
	if !i.host.fleet.scenario.HealthOracle {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	l.FailureEstimate = 0
	if i.sick {
		l.FailureEstimate = msg.Thousandths
	}
}

// withTrueHealth returns a load report with the true health of the instance and stores it, to be
// sent again at the next change of health. Without a health oracle it returns the report unchanged.
func (h *host) withTrueHealth(report *msg.LoadReport) *msg.LoadReport {
	if !h.fleet.scenario.HealthOracle {
		return report
	}
	out := &msg.LoadReport{Loads: append([]msg.InstanceLoad{}, report.Loads...)}
	for k := range out.Loads {
		h.instance.setTrueHealth(&out.Loads[k].Load)
		h.instance.storeReport(out.Loads[k])
	}
	return out
}

func (i *instance) storeReport(l msg.InstanceLoad) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastReport = l
}

// publishTrueHealth reports a change of the instance's health to all fronts at once.
func (i *instance) publishTrueHealth() {
	i.mu.Lock()
	report := i.lastReport
	i.mu.Unlock()
	if !i.host.fleet.scenario.HealthOracle || report.Instance == "" {
		return
	}
	i.setTrueHealth(&report.Load)
	for _, h := range i.host.fleet.hosts {
		h.deliver(func(d *daemon) { d.front.HandleLoadReport(&msg.LoadReport{Loads: []msg.InstanceLoad{report}}) })
	}
}
