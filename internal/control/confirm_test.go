package control

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
)

// An operator reads from a host since when its records are known to be current: the
// age stays small while the platform answers, and grows while it does not.
func TestTheAgeOfTheConfirmationIsThatOfTheLastAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatched(t, testAwayMax)
		defer w.stop()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			age := w.control.ConfirmedAge()
			assert.Assert(t, age <= 2*testWatchWait+2*watchPause, "%s", age)
		}
		w.silent(true)
		time.Sleep(10 * time.Second)
		age := w.control.ConfirmedAge()
		assert.Assert(t, age >= 10*time.Second && age <= 13*time.Second, "%s", age)
		state := w.control.State().Confirmed
		assert.Equal(t, len(state), 1)
		assert.Equal(t, state[0].From, fromPlatform)
	})
}

// A host that does not watch learns from the digest of one that has the same records
// since when they are current; a digest of other records proves nothing.
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
	// An older word changes nothing; nor does one about other feeds.
	c.HandleControl(from, &msg.Digest{Set: msg.SetRecords, Root: root, AgesMS: []uint32{9000}})
	c.HandleControl(from, &msg.Digest{Set: msg.SetRecords, Root: root, AgesMS: []uint32{1, 1}})
	assert.Assert(t, c.ConfirmedAge() >= 3*time.Second)
}

// A host whose confirmations are not complete tells none.
func TestNoAgesAreToldBeforeEveryFeedIsConfirmed(t *testing.T) {
	now := time.Now()
	c := newConfirmations([]objects.Feed{"a", "b"})
	assert.Assert(t, c.ages(now) == nil)
	c.note("a", now, fromPlatform)
	assert.Assert(t, c.ages(now) == nil)
	c.note("b", now.Add(-time.Second), fromPlatform)
	assert.DeepEqual(t, c.ages(now), []uint32{0, 1000})
}

// While the platform answers, a change waits for no more than the pause between two
// watches.
func TestAChangeOfAnAnsweringPlatformIsInForceAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatched(t, testAwayMax)
		defer w.stop()
		time.Sleep(3 * time.Second)
		for range 5 {
			w.change()
			late := w.late()
			assert.Assert(t, late < testFleetPart, "%s", late)
		}
	})
}

// A watch that ends with nothing new gives no reason to build the directory again: a
// watcher would do so, and hand it to all roles, more than once a second.
func TestAnEmptyWatchBuildsNoDirectory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatched(t, testAwayMax)
		defer w.stop()
		time.Sleep(3 * time.Second)
		w.control.publish(time.Now())
		before := w.platform.Counts().Watches
		time.Sleep(10 * time.Second)
		w.control.mu.Lock()
		defer w.control.mu.Unlock()
		assert.Assert(t, w.platform.Counts().Watches > before)
		assert.Assert(t, w.control.rebuild(time.Now()) == nil)
	})
}
