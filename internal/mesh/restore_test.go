package mesh

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/msg"
)

// valueSize returns the size of a record at a host, 0 if the host does not have it.
func valueSize(h *Host, name string) int {
	e, _ := h.Replica.Set(msg.SetRecords).Get(config.Key{Kind: "Route", Name: name})
	return len(e.Value)
}

// Guards against changes that hosts ignore after the platform has been restored from an
// earlier state, also where a host restarts, is frozen or cut off from the platform meanwhile.
func TestChangeAfterPlatformRestoreReachesAllHosts(t *testing.T) {
	const lostChanges, changedSize, limit = 4, 999, 30 * time.Second
	for _, hosts := range []int{24, 984} {
		if hosts > max(*maxHosts, 24) {
			continue
		}
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			m := New(Config{Hosts: hosts, DCs: 5, Seed: 1, Instances: 1, Watchers: 2, Replica: quickReplicationConfig()})
			m.StartAll()
			m.Platform.Put("r", false, 100)
			m.Platform.Put("kept", false, 50)
			copied := len(m.Platform.Events)
			m.Run(5 * time.Second)
			for n := range lostChanges {
				m.Platform.Put("r", false, 101+n)
			}
			m.Platform.Put("created", false, 70)
			m.Run(5 * time.Second)
			restarted, frozen := m.Hosts[1], m.Hosts[2]
			m.Platform.Unavailable = true
			m.Stop(restarted)
			frozen.Paused = true
			m.Run(2 * time.Second)
			m.Platform.Restore(copied)
			m.Platform.Unavailable = false
			m.Start(restarted)
			frozen.Paused = false
			m.Platform.Put("r", false, changedSize)
			_, reached := timeUntil(m, limit, func(h *Host) bool { return valueSize(h, "r") == changedSize })
			t.Logf("all hosts have the change after %s", reached)
			assert.Assert(t, reached <= maxPropagationTime)
			m.Run(5 * time.Second)
			for _, h := range m.Hosts {
				assert.Equal(t, valueSize(h, "kept"), 50, h.Name)
				assert.Equal(t, valueSize(h, "created"), 70, "%s: a record lost by the platform is no deleted one", h.Name)
			}
		})
	}
}
