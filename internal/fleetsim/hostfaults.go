package fleetsim

import "time"

// HostRestart kills the daemon of a host. Another one starts after Downtime.
type HostRestart struct {
	At, Downtime time.Duration
	// Host is the index of the host.
	Host int
}

// HostFreeze stops the daemon of a host for a time. Its open exchanges with the instance
// go on, new ones wait for the end of the freeze.
type HostFreeze struct {
	At, Duration time.Duration
	// Host is the index of the host.
	Host int
}

// scheduleHostFaults schedules the restarts of daemons and records the freezes.
func (f *fleet) scheduleHostFaults() {
	for _, fr := range f.scenario.HostFreezes {
		f.result.FrozenInstances[f.hosts[fr.Host].instance.name] = true
	}
	for _, r := range f.scenario.HostRestarts {
		time.AfterFunc(r.At, func() { f.hosts[r.Host].restartDaemon(r.Downtime) })
	}
}

// restartDaemon ends the daemon, which breaks its connections to the instance, and starts
// another one after a downtime.
func (h *host) restartDaemon(downtime time.Duration) {
	h.mu.Lock()
	old := h.current
	h.current = nil
	h.mu.Unlock()
	old.guard.Drain()
	old.front.CancelRequests()
	h.instance.mu.Lock()
	h.instance.closeConns()
	h.instance.mu.Unlock()
	h.fleet.forgetPassedOn(h)
	time.AfterFunc(downtime, func() {
		h.startDaemon()
		h.instance.refreshAnnouncement()
		time.AfterFunc(directoryDelay, h.fleet.updateDirectories)
	})
}

// freezeTimeLeft returns for how much longer the daemon is frozen, 0 if it is not.
func (h *host) freezeTimeLeft() time.Duration {
	now := h.fleet.now()
	for _, fr := range h.fleet.scenario.HostFreezes {
		if h.fleet.hosts[fr.Host] == h && now >= fr.At && now < fr.At+fr.Duration {
			return fr.At + fr.Duration - now
		}
	}
	return 0
}
