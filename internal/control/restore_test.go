package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/standin/platformd"
	"github.com/radishhoist/radishhoist/record"
)

// writeFloor stores a version of the test's record with the given floor, whatever version is
// stored.
func (w *watcherTest) writeFloor(percent int) {
	w.t.Helper()
	value, err := record.Marshal(w.key, &record.Service{Office: "o", Preset: record.PresetQuick, Floor: record.Floor{Percent: percent}})
	assert.NilError(w.t, err)
	current, _ := w.platform.Store.Get(w.key)
	_, ok := w.platform.Store.Put(w.key, value, current.Version)
	assert.Assert(w.t, ok)
}

// floorInForce returns the floor in force, 0 if the record is not.
func (w *watcherTest) floorInForce() int {
	w.control.mu.Lock()
	defer w.control.mu.Unlock()
	r, ok := w.control.records.active[w.key]
	if !ok {
		return 0
	}
	return r.Spec.(*record.Service).Floor.Percent
}

// waitForFloor waits until a floor is in force, for at most a minute, and returns the time
// waited.
func (w *watcherTest) waitForFloor(percent int) time.Duration {
	start := time.Now()
	for w.floorInForce() != percent && time.Since(start) < time.Minute {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// Guards against an acknowledged change that is not applied because the platform has been
// restored from an earlier state and gives revisions out again.
func TestChangeIsAppliedInTimeAfterPlatformRestore(t *testing.T) {
	for lost := range 5 {
		for _, rewritten := range []int{0, 1, lost} {
			for _, pause := range []time.Duration{0, 700 * time.Millisecond, 3 * time.Second} {
				t.Run(fmt.Sprintf("%d lost, %d written again, changed after %s", lost, rewritten, pause), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						w := startWatcherTest(t, testMaxRetryInterval)
						defer w.stop()
						time.Sleep(3 * time.Second)
						w.writeFloor(10)
						checkpoint := w.platform.Store.Checkpoint()
						for n := range lost {
							w.writeFloor(11 + n)
						}
						assert.Assert(t, w.waitForFloor(10+lost) < testReplicationMargin)
						w.platform.SetFaults(platformd.Faults{Outage: true})
						time.Sleep(2 * time.Second)
						w.platform.Store.Restore(checkpoint)
						w.platform.SetFaults(platformd.Faults{})
						for n := range rewritten {
							w.writeFloor(10 + lost - rewritten + n + 1)
						}
						time.Sleep(pause)
						w.writeFloor(60)
						delay := w.waitForFloor(60)
						assert.Assert(t, delay <= testApplyLimit-testReplicationMargin, "applied at the watcher %s after the acknowledgement", delay)
					})
				})
			}
		}
	}
}

// newRestoredControl returns a Control with a Configuration from before a restoration in force.
func newRestoredControl(t *testing.T, label string) *Control {
	t.Helper()
	c, _ := newTestControl(t)
	c.ApplyObject(configurationObject(t, label, objects.VersionAt(1, 32)))
	return c
}

func configurationObject(t *testing.T, label string, version int64) objects.Object {
	t.Helper()
	key := record.Key{Kind: record.KindConfiguration, Name: "main"}
	value, err := record.Marshal(key, &record.Configuration{Label: label, Routes: []record.NamedRoute{}, Services: []record.NamedService{}})
	assert.NilError(t, err)
	return objects.Object{Kind: key.Kind, Name: key.Name, Version: version, Value: value}
}

// Guards against a process that returns to an older configuration because a restored platform
// stores it under a newer version.
func TestOlderConfigurationOfRestoredPlatformIsNotApplied(t *testing.T) {
	inForce := func(c *Control) string {
		return c.records.active[record.Key{Kind: record.KindConfiguration, Name: "main"}].Spec.(*record.Configuration).Label
	}
	c := newRestoredControl(t, "26")
	c.ApplyObject(configurationObject(t, "22", objects.VersionAt(2, 29)))
	assert.Equal(t, inForce(c), "26")
	c.ApplyObject(configurationObject(t, "26", objects.VersionAt(2, 30)))
	assert.Equal(t, inForce(c), "26")
	c.ApplyObject(configurationObject(t, "28", objects.VersionAt(2, 31)))
	assert.Equal(t, inForce(c), "28")
	// Within a history the platform's version decides.
	c.ApplyObject(configurationObject(t, "27", objects.VersionAt(2, 32)))
	assert.Equal(t, inForce(c), "27")
}
