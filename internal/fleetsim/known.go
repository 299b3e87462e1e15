package fleetsim

import "github.com/radishhoist/radishhoist/internal/msg"

// correct puts what is true of an instance in place of its guard's estimate, where
// the site is one in which it is known.
func (i *instance) correct(l *msg.Load) {
	if !i.host.fleet.site.Known {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	l.FailureEstimate = 0
	if i.sick {
		l.FailureEstimate = msg.Thousandths
	}
}

// known corrects a pulse, and keeps what it tells for the moment of a turn.
func (h *host) known(p *msg.LoadReport) *msg.LoadReport {
	if !h.fleet.site.Known {
		return p
	}
	out := &msg.LoadReport{Loads: append([]msg.InstanceLoad{}, p.Loads...)}
	for k := range out.Loads {
		h.instance.correct(&out.Loads[k].Load)
		h.instance.keep(out.Loads[k])
	}
	return out
}

func (i *instance) keep(l msg.InstanceLoad) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.told = l
}

// tellTurn tells all fronts at once that the instance has turned.
func (i *instance) tellTurn() {
	i.mu.Lock()
	told := i.told
	i.mu.Unlock()
	if !i.host.fleet.site.Known || told.Instance == "" {
		return
	}
	i.correct(&told.Load)
	for _, h := range i.host.fleet.hosts {
		h.front.HandleLoadReport(&msg.LoadReport{Loads: []msg.InstanceLoad{told}})
	}
}
