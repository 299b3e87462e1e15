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
	// crasherStoreInterval is how often pending Crasher records are written. It is also the
	// pause after a failed write.
	crasherStoreInterval = 500 * time.Millisecond
	// storeFailureLogInterval is the minimum time between log lines about failed writes.
	storeFailureLogInterval = time.Minute
)

// pendingCrashers holds the Crasher records of blocked requests that are not yet stored in
// the platform.
type pendingCrashers struct {
	mu            sync.Mutex
	byFingerprint map[crash.Fingerprint][]byte
	// loggedAt is the time at which a failed write was last logged.
	loggedAt time.Time
}

// StoreCrasher stores a blocked request in the platform, so that it stays blocked even if
// all processes of the fleet end. It does not wait for the write.
func (c *Control) StoreCrasher(fp crash.Fingerprint, request string, crashes []record.InstanceCrash) {
	value, err := record.Marshal(crasherKey(fp), &record.Crasher{Request: request, Crashes: crashes})
	if err != nil {
		c.logNotWritten(fp, err)
		return
	}
	c.pendingCrashers.mu.Lock()
	defer c.pendingCrashers.mu.Unlock()
	if c.pendingCrashers.byFingerprint == nil {
		c.pendingCrashers.byFingerprint = make(map[crash.Fingerprint][]byte)
	}
	c.pendingCrashers.byFingerprint[fp] = value
}

// crasherKey returns the key of the record of a blocked request.
func crasherKey(fp crash.Fingerprint) record.Key {
	return record.Key{Kind: record.KindCrasher, Name: fp.String()}
}

// peek returns an arbitrary pending record, or false if there is none.
func (p *pendingCrashers) peek() (crash.Fingerprint, []byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for fp, value := range p.byFingerprint {
		return fp, value, true
	}
	return 0, nil, false
}

func (p *pendingCrashers) remove(fp crash.Fingerprint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byFingerprint, fp)
}

// storeCrashers periodically writes pending records to the platform.
func (c *Control) storeCrashers(ctx context.Context) {
	for sleep.For(ctx, crasherStoreInterval) {
		c.storePending(ctx, time.Now())
	}
}

// storePending writes the pending records. It stops at the first write that fails.
func (c *Control) storePending(ctx context.Context, now time.Time) {
	for fp, value, ok := c.pendingCrashers.peek(); ok; fp, value, ok = c.pendingCrashers.peek() {
		if err := c.storeCrasher(ctx, fp, value); err != nil {
			c.logStoreFailure(now, fp, err)
			return
		}
		c.pendingCrashers.remove(fp)
	}
}

// storeCrasher writes one record. An existing record is left unchanged even if it lists
// other crashes, because it blocks the same request.
func (c *Control) storeCrasher(ctx context.Context, fp crash.Fingerprint, value []byte) error {
	_, err := c.store.Put(ctx, crasherKey(fp), value, 0)
	var conflict *objects.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// logStoreFailure logs a failed write, at most once per storeFailureLogInterval.
func (c *Control) logStoreFailure(now time.Time, fp crash.Fingerprint, cause error) {
	if !c.pendingCrashers.loggedAt.IsZero() && now.Sub(c.pendingCrashers.loggedAt) < storeFailureLogInterval {
		return
	}
	c.pendingCrashers.loggedAt = now
	c.logNotWritten(fp, cause)
}

func (c *Control) logNotWritten(fp crash.Fingerprint, cause error) {
	event.Log(c.log, event.RecordNotWritten, slog.String("record", crasherKey(fp).String()), slog.String("cause", cause.Error()))
}

// applyCrasher applies a Crasher record, which blocks a request, or the deletion of one,
// which unblocks the request. It ignores records of other kinds. The caller holds the lock.
func (c *Control) applyCrasher(e msg.Entry) {
	if e.Kind != string(record.KindCrasher) {
		return
	}
	fp, err := crash.ParseFingerprint(e.Name)
	if err != nil {
		c.logRefused(time.Now(), e, err)
		return
	}
	if e.Deleted {
		c.hooks.Unblocked(fp)
		c.clearFromCrashes(fp)
		return
	}
	r, ok := c.records.active[crasherKey(fp)]
	if !ok {
		return // The record was rejected, which has been logged.
	}
	for _, crashed := range r.Spec.(*record.Crasher).Crashes {
		if time.Since(time.UnixMilli(crashed.AtMS)) > crash.RetentionPeriod {
			continue
		}
		c.hooks.Crashed(crash.Crash{
			ID: crashed.ID, Software: crash.Software{Service: crashed.Service, Version: crashed.Version},
			Host: crashed.Host, DetectedAt: time.UnixMilli(crashed.AtMS), Fingerprints: []crash.Fingerprint{fp},
		})
	}
}

// clearFromCrashes publishes a clearance of a request for each known crash that names it,
// for hosts that receive the crash later. All hosts publish identical entries, so each
// entry spreads only once. The caller holds the lock.
func (c *Control) clearFromCrashes(fp crash.Fingerprint) {
	var cleared []msg.Entry
	c.replica.Set(msg.SetCrashes).Each(func(e msg.Entry) {
		if e.Kind != crashKind {
			return
		}
		if crashed, err := decodeCrash(e); err == nil && slices.Contains(crashed.Fingerprints, fp) {
			cleared = append(cleared, clearanceEntry(e.Name, fp, e.Version))
		}
	})
	c.replica.Publish(c.peers(), msg.SetCrashes, cleared)
}

func clearanceEntry(crashID string, fp crash.Fingerprint, version int64) msg.Entry {
	return msg.Entry{Kind: clearanceKind, Name: crashID + fingerprintSeparator + fp.String(), Version: version}
}

// crashVersion returns the version of a crash entry, or the current time if the crash is
// unknown. The caller holds the lock.
func (c *Control) crashVersion(crashID string, now time.Time) int64 {
	if e, ok := c.replica.Set(msg.SetCrashes).Get(config.Key{Kind: crashKind, Name: crashID}); ok {
		return e.Version
	}
	return now.UnixMilli()
}

// staleCrasherRecords returns the Crasher records that no longer block a request, with their
// versions: the crashes have expired, or the request has been cleared of so many that too
// few remain. It returns none unless this host removes records for its data centre. The caller
// holds the lock.
func (c *Control) staleCrasherRecords(now time.Time) map[record.Key]int64 {
	out := make(map[record.Key]int64)
	if !c.removesRecords() {
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

// countUncleared returns the number of crashes of which a request has not been cleared. The
// caller holds the lock.
func (c *Control) countUncleared(fingerprint string, crashes []record.InstanceCrash) int {
	n := 0
	for _, crashed := range crashes {
		if _, cleared := c.replica.Set(msg.SetCrashes).Get(config.Key{Kind: clearanceKind, Name: crashed.ID + fingerprintSeparator + fingerprint}); !cleared {
			n++
		}
	}
	return n
}
