package control

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
)

// The confirmed age tells operators how current the records of a host are. It must stay
// small while the platform responds, and grow while it does not.
func TestConfirmedAgeIsAgeOfLastResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatcherTest(t, testMaxRetryInterval)
		defer w.stop()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			age := w.control.ConfirmedAge()
			assert.Assert(t, age <= 2*testWatchWait+2*watchPause, "%s", age)
		}
		w.setSilent(true)
		time.Sleep(10 * time.Second)
		age := w.control.ConfirmedAge()
		assert.Assert(t, age >= 10*time.Second && age <= 13*time.Second, "%s", age)
		state := w.control.State().Confirmed
		assert.Equal(t, len(state), 1)
		assert.Equal(t, state[0].From, platformSource)
	})
}

// A host that does not watch learns the confirmation times from the digests of hosts with
// the same records. A digest of different records must confirm nothing.
func TestConfirmationsSpreadWithDigests(t *testing.T) {
	c, _ := newTestControl(t)
	c.started = time.Now().Add(-time.Minute)
	assert.Assert(t, c.ConfirmedAge() >= time.Minute)
	from := &msg.Hello{Host: "b"}
	root := c.replica.Set(msg.SetRecords).Root()
	c.HandleControl(from, &msg.Digest{Set: msg.SetRecords, Root: root + 1, AgesMS: []uint32{100}})
	assert.Assert(t, c.ConfirmedAge() >= time.Minute)
	c.HandleControl(from, &msg.Digest{Set: msg.SetRecords, Root: root, AgesMS: []uint32{3000}})
	age := c.ConfirmedAge()
	assert.Assert(t, age >= 3*time.Second && age < 4*time.Second, "%s", age)
	assert.Equal(t, c.State().Confirmed[0].From, "b")
	// Older confirmations and those for a different number of feeds are ignored.
	c.HandleControl(from, &msg.Digest{Set: msg.SetRecords, Root: root, AgesMS: []uint32{9000}})
	c.HandleControl(from, &msg.Digest{Set: msg.SetRecords, Root: root, AgesMS: []uint32{1, 1}})
	assert.Assert(t, c.ConfirmedAge() >= 3*time.Second)
}

// A host sends no ages until all its feeds have been confirmed.
func TestNoAgesAreSentBeforeEveryFeedIsConfirmed(t *testing.T) {
	now := time.Now()
	c := newConfirmations([]objects.Feed{"a", "b"})
	assert.Assert(t, c.ages(now) == nil)
	c.confirm("a", now, platformSource)
	assert.Assert(t, c.ages(now) == nil)
	c.confirm("b", now.Add(-time.Second), platformSource)
	assert.DeepEqual(t, c.ages(now), []uint32{0, 1000})
}

// While the platform responds, a change is delayed by no more than the pause between two
// watches.
func TestChangeIsAppliedImmediatelyWhilePlatformResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatcherTest(t, testMaxRetryInterval)
		defer w.stop()
		time.Sleep(3 * time.Second)
		for range 5 {
			w.changeRecord()
			delay := w.waitUntilApplied()
			assert.Assert(t, delay < testReplicationMargin, "%s", delay)
		}
	})
}

// A watch that returns no changes must not rebuild the directory. Otherwise, a watcher would
// build and distribute a directory more than once a second.
func TestEmptyWatchDoesNotRebuildDirectory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatcherTest(t, testMaxRetryInterval)
		defer w.stop()
		time.Sleep(3 * time.Second)
		w.control.publish(time.Now())
		before := w.platform.Counts().Watches
		time.Sleep(10 * time.Second)
		w.control.mu.Lock()
		defer w.control.mu.Unlock()
		assert.Assert(t, w.platform.Counts().Watches > before)
		assert.Assert(t, w.control.rebuildDirectory(time.Now()) == nil)
	})
}
