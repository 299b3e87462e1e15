package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/directory"
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

// put creates a record in the platform, without a host.
func (w *watcherTest) put(key record.Key, spec record.Spec, ifVersion int64) {
	w.t.Helper()
	value, err := record.Marshal(key, spec)
	assert.NilError(w.t, err)
	_, ok := w.platform.Store.Put(key, value, ifVersion)
	assert.Assert(w.t, ok)
}

// stored returns a record as the platform stores it, nil if it does not.
func (w *watcherTest) stored(key record.Key) record.Spec {
	w.t.Helper()
	obj, ok := w.platform.Store.Get(key)
	if !ok {
		return nil
	}
	r, err := record.Parse(obj.Value)
	assert.NilError(w.t, err)
	return r.Spec
}

// Guards against records of the fleet that stay lost after the platform has been restored: a
// blocked request, an owner of keys, the address of a host.
func TestRecordsLostByPlatformAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatcherTest(t, testMaxRetryInterval)
		defer w.stop()
		w.control.mu.Lock()
		w.control.hosts["a"] = &directory.Host{Name: "a", DC: "dc", PeerAddr: "127.0.0.1:0"}
		w.control.mu.Unlock()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.control.restoreLost(ctx)
		time.Sleep(3 * time.Second)
		shards := record.Key{Kind: record.KindShardMap, Name: "plans"}
		epoch := func(n uint64) *record.ShardMap {
			return &record.ShardMap{Guards: []string{"a"}, Shards: []record.Shard{{Owner: "a", Epoch: n}}, Nonce: fmt.Sprint(n)}
		}
		crasher := record.Key{Kind: record.KindCrasher, Name: "00000000000000aa"}
		deleted := record.Key{Kind: record.KindCrasher, Name: "00000000000000bb"}
		blocked := &record.Crasher{Request: "GET /x", Crashes: []record.InstanceCrash{{ID: "c", Service: "plans", Version: "1", Host: "a", AtMS: time.Now().UnixMilli()}}}
		own := record.Key{Kind: record.KindHost, Name: "a"}
		assert.Assert(t, w.stored(own) != nil)
		w.put(shards, epoch(4), 0)
		current, _ := w.platform.Store.Get(shards)
		checkpoint := w.platform.Store.Checkpoint()
		w.put(shards, epoch(5), current.Version)
		w.put(crasher, blocked, 0)
		w.put(deleted, blocked, 0)
		time.Sleep(2 * time.Second)
		obj, _ := w.platform.Store.Get(deleted)
		_, ok := w.platform.Store.Delete(deleted, obj.Version)
		assert.Assert(t, ok)
		time.Sleep(2 * time.Second)

		w.platform.Store.Restore(checkpoint)
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, w.stored(shards), epoch(5))
		assert.Assert(t, w.stored(crasher) != nil, "the block of a request is lost")
		assert.Assert(t, w.stored(deleted) == nil, "a deleted record is back")
		calls := w.platform.Counts().Writes
		time.Sleep(10 * time.Second)
		assert.Equal(t, w.platform.Counts().Writes, calls, "writes go on although nothing is lost")

		w.platform.Store.Restore(platformd.NewStore().Checkpoint())
		time.Sleep(10 * time.Second)
		assert.Assert(t, w.stored(own) != nil, "the host's address is lost")
		assert.DeepEqual(t, w.stored(shards), epoch(5))
	})
}
