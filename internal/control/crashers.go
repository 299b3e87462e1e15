package control

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/record"
)

const (
	// storeInterval is how often pending Crasher records are written, and thereby the
	// pause after a failed write.
	storeInterval = 500 * time.Millisecond
	// storeFailureLogInterval is the minimum time between log lines about failed writes.
	storeFailureLogInterval = time.Minute
)

// pendingCrashers holds the records of blocked requests until they are stored in the
// platform.
type pendingCrashers struct {
	mu            sync.Mutex
	byFingerprint map[crash.Fingerprint][]byte
	// loggedAt is the time at which a failed write was last logged.
	loggedAt time.Time
}

// StoreCrasher stores a blocked request in the platform, so that it stays blocked when all
// processes of the fleet are lost. It returns without waiting for the write.
func (c *Control) StoreCrasher(p crash.Fingerprint, request string, crashes []record.InstanceCrash) {
	value, err := record.Marshal(crasherKey(p), &record.Crasher{Request: request, Crashes: crashes})
	if err != nil {
		c.logNotWritten(p, err)
		return
	}
	c.pendingCrashers.mu.Lock()
	defer c.pendingCrashers.mu.Unlock()
	if c.pendingCrashers.byFingerprint == nil {
		c.pendingCrashers.byFingerprint = make(map[crash.Fingerprint][]byte)
	}
	c.pendingCrashers.byFingerprint[p] = value
}

// crasherKey returns the key of the record of a blocked request.
func crasherKey(p crash.Fingerprint) record.Key {
	return record.Key{Kind: record.KindCrasher, Name: p.String()}
}

// peek returns any pending record, or false if there is none.
func (u *pendingCrashers) peek() (crash.Fingerprint, []byte, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for p, value := range u.byFingerprint {
		return p, value, true
	}
	return 0, nil, false
}

func (u *pendingCrashers) remove(p crash.Fingerprint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.byFingerprint, p)
}

// storeCrashers periodically writes pending records to the platform.
func (c *Control) storeCrashers(ctx context.Context) {
	for sleep.For(ctx, storeInterval) {
		c.storePending(ctx, time.Now())
	}
}

// storePending writes the pending records until a write fails.
func (c *Control) storePending(ctx context.Context, now time.Time) {
	for p, value, ok := c.pendingCrashers.peek(); ok; p, value, ok = c.pendingCrashers.peek() {
		if err := c.storeCrasher(ctx, p, value); err != nil {
			c.logStoreFailure(now, p, err)
			return
		}
		c.pendingCrashers.remove(p)
	}
}

// storeCrasher writes one record. An existing record is left as it is, although it
// may list other crashes: it was written to block the same request.
func (c *Control) storeCrasher(ctx context.Context, p crash.Fingerprint, value []byte) error {
	_, err := c.store.Put(ctx, crasherKey(p), value, 0)
	var conflict *objects.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// logStoreFailure logs a failed write, at most once per storeFailureLogInterval.
func (c *Control) logStoreFailure(now time.Time, p crash.Fingerprint, cause error) {
	if !c.pendingCrashers.loggedAt.IsZero() && now.Sub(c.pendingCrashers.loggedAt) < storeFailureLogInterval {
		return
	}
	c.pendingCrashers.loggedAt = now
	c.logNotWritten(p, cause)
}

func (c *Control) logNotWritten(p crash.Fingerprint, cause error) {
	event.Log(c.log, event.RecordNotWritten, slog.String("record", crasherKey(p).String()), slog.String("cause", cause.Error()))
}

// applyCrasher applies a Crasher record from the platform: a blocked request, or its
// deletion, which allows the request again. The caller holds the lock.
func (c *Control) applyCrasher(e msg.Entry) {
	if e.Kind != string(record.KindCrasher) {
		return
	}
	p, err := crash.ParseFingerprint(e.Name)
	if err != nil {
		c.logRefused(time.Now(), e, err)
		return
	}
	if e.Deleted {
		c.hooks.Unblocked(p)
		c.clearFromCrashes(p)
		return
	}
	r, ok := c.records.active[crasherKey(p)]
	if !ok {
		return // rejected, which has been logged
	}
	for _, crashed := range r.Spec.(*record.Crasher).Crashes {
		if time.Since(time.UnixMilli(crashed.AtMS)) > crash.RetentionPeriod {
			continue
		}
		c.hooks.Crashed(crash.Crash{
			ID: crashed.ID, Software: crash.Software{Service: crashed.Service, Version: crashed.Version},
			Host: crashed.Host, DetectedAt: time.UnixMilli(crashed.AtMS), Fingerprints: []crash.Fingerprint{p},
		})
	}
}

// clearFromCrashes publishes clearances of a request for all known crashes, for hosts
// that receive the crashes later. All hosts that do so publish identical entries, so they
// spread only once. The caller holds the lock.
func (c *Control) clearFromCrashes(p crash.Fingerprint) {
	var cleared []msg.Entry
	c.replica.Set(msg.SetCrashes).Each(func(e msg.Entry) {
		if e.Kind != crashKind {
			return
		}
		if crashed, err := decodeCrash(e); err == nil && slices.Contains(crashed.Fingerprints, p) {
			cleared = append(cleared, clearanceEntry(e.Name, p, e.Version))
		}
	})
	c.replica.Publish(c.peers(), msg.SetCrashes, cleared)
}

func clearanceEntry(crashID string, p crash.Fingerprint, version int64) msg.Entry {
	return msg.Entry{Kind: clearanceKind, Name: crashID + fingerprintSeparator + p.String(), Version: version}
}

// crashVersion returns the version of a crash entry, or the current time if it is
// unknown. The caller holds the lock.
func (c *Control) crashVersion(crashID string, now time.Time) int64 {
	if e, ok := c.replica.Set(msg.SetCrashes).Get(config.Key{Kind: crashKind, Name: crashID}); ok {
		return e.Version
	}
	return now.UnixMilli()
}

// staleCrasherRecords returns the records of requests whose crashes have expired, or that
// have been cleared of so many crashes that the rest no longer block them, with their
// versions. It returns none unless this host ranks first in its data centre. The caller
// holds the lock.
func (c *Control) staleCrasherRecords(now time.Time) map[record.Key]int64 {
	out := make(map[record.Key]int64)
	if c.rank() != 0 {
		return out
	}
	for key, r := range c.records.active {
		s, ok := r.Spec.(*record.Crasher)
		if !ok {
			continue
		}
		last := slices.MaxFunc(s.Crashes, func(x, y record.InstanceCrash) int { return int(x.AtMS - y.AtMS) })
		if now.Sub(time.UnixMilli(last.AtMS)) > crash.RetentionPeriod || c.countUncleared(key.Name, s.Crashes) < crash.BlockAfterIncidents {
			out[key] = r.Version
		}
	}
	return out
}

// countUncleared returns the number of crashes that a request has not been cleared of.
// The caller holds the lock.
func (c *Control) countUncleared(fingerprint string, crashes []record.InstanceCrash) int {
	n := 0
	for _, e := range crashes {
		if _, cleared := c.replica.Set(msg.SetCrashes).Get(config.Key{Kind: clearanceKind, Name: e.ID + fingerprintSeparator + fingerprint}); !cleared {
			n++
		}
	}
	return n
}
