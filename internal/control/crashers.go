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
	// keepInterval is how often it is looked for stopped requests that are to be kept,
	// and the pause after the platform has failed to take one.
	keepInterval = 500 * time.Millisecond
	// unkeptLines is how often a line tells that the platform does not take them.
	unkeptLines = time.Minute
)

// unkept holds the records of stopped requests until they stand in the platform.
type unkept struct {
	mu      sync.Mutex
	byPrint map[crash.Fingerprint][]byte
	// toldAt is when a line told last that the platform does not take one.
	toldAt time.Time
}

// StoreCrasher has a stopped request kept in the platform, so that a loss of all processes does
// not forget it. It does not wait for that.
func (c *Control) StoreCrasher(p crash.Fingerprint, request string, ends []record.InstanceCrash) {
	value, err := record.Marshal(crasherKey(p), &record.Crasher{Request: request, Crashes: ends})
	if err != nil {
		c.logUnkept(p, err)
		return
	}
	c.unkept.mu.Lock()
	defer c.unkept.mu.Unlock()
	if c.unkept.byPrint == nil {
		c.unkept.byPrint = make(map[crash.Fingerprint][]byte)
	}
	c.unkept.byPrint[p] = value
}

// crasherKey is the key of a stopped request's record.
func crasherKey(p crash.Fingerprint) record.Key {
	return record.Key{Kind: record.KindCrasher, Name: p.String()}
}

// next gives the record of one request that is to be kept; false for none.
func (u *unkept) next() (crash.Fingerprint, []byte, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for p, value := range u.byPrint {
		return p, value, true
	}
	return 0, nil, false
}

func (u *unkept) done(p crash.Fingerprint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.byPrint, p)
}

// keepCrashers writes stopped requests to the platform, however often it fails.
func (c *Control) keepCrashers(ctx context.Context) {
	for sleep.For(ctx, keepInterval) {
		c.keepAll(ctx, time.Now())
	}
}

// keepAll writes the stopped requests that are to be kept, until the platform fails to take
// one.
func (c *Control) keepAll(ctx context.Context, now time.Time) {
	for p, value, ok := c.unkept.next(); ok; p, value, ok = c.unkept.next() {
		if err := c.keepCrasher(ctx, p, value); err != nil {
			c.tellUnkept(now, p, err)
			return
		}
		c.unkept.done(p)
	}
}

// keepCrasher writes one record. One that stands there already says the same.
func (c *Control) keepCrasher(ctx context.Context, p crash.Fingerprint, value []byte) error {
	_, err := c.store.Put(ctx, crasherKey(p), value, 0)
	var conflict *objects.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// tellUnkept logs that the platform does not take a record, the first time and each
// unkeptLines after.
func (c *Control) tellUnkept(now time.Time, p crash.Fingerprint, cause error) {
	if !c.unkept.toldAt.IsZero() && now.Sub(c.unkept.toldAt) < unkeptLines {
		return
	}
	c.unkept.toldAt = now
	c.logUnkept(p, cause)
}

func (c *Control) logUnkept(p crash.Fingerprint, cause error) {
	event.Log(c.log, event.RecordNotWritten, slog.String("record", crasherKey(p).String()), slog.String("cause", cause.Error()))
}

// applyCrasher takes a stopped request from the platform, or that it may run again. The
// caller holds the lock.
func (c *Control) applyCrasher(e msg.Entry) {
	if e.Kind != string(record.KindCrasher) {
		return
	}
	p, err := crash.ParseFingerprint(e.Name)
	if err != nil {
		c.refuseEnd(time.Now(), e, err)
		return
	}
	if e.Deleted {
		c.hooks.Unblocked(p)
		c.clearEnds(p)
		return
	}
	r, ok := c.records.inForce[crasherKey(p)]
	if !ok {
		return // refused, with a line of its own
	}
	for _, end := range r.Spec.(*record.Crasher).Crashes {
		if time.Since(time.UnixMilli(end.AtMS)) > crash.RetentionPeriod {
			continue
		}
		c.hooks.Crashed(crash.Crash{
			ID: end.ID, Software: crash.Software{Service: end.Service, Version: end.Version},
			Host: end.Host, DetectedAt: time.UnixMilli(end.AtMS), Fingerprints: []crash.Fingerprint{p},
		})
	}
}

// clearEnds clears a request of all ends, for hosts that hear of them later. All hosts
// that do so write the same, so that it spreads once. The caller holds the lock.
func (c *Control) clearEnds(p crash.Fingerprint) {
	var cleared []msg.Entry
	c.replica.Set(msg.SetCrashes).Each(func(e msg.Entry) {
		if e.Kind != endKind {
			return
		}
		if end, err := readEnd(e); err == nil && slices.Contains(end.Fingerprints, p) {
			cleared = append(cleared, clearedEntry(e.Name, p, e.Version))
		}
	})
	c.replica.Publish(c.peers(), msg.SetCrashes, cleared)
}

func clearedEntry(end string, p crash.Fingerprint, version int64) msg.Entry {
	return msg.Entry{Kind: clearedKind, Name: end + printStart + p.String(), Version: version}
}

// endVersion is the version of an end, now for one that is not known here. The caller
// holds the lock.
func (c *Control) endVersion(end string, now time.Time) int64 {
	if e, ok := c.replica.Set(msg.SetCrashes).Get(config.Key{Kind: endKind, Name: end}); ok {
		return e.Version
	}
	return now.UnixMilli()
}

// forgottenCrashers lists the records of requests whose ends are no longer remembered, or
// that were cleared of so many that the rest would not stop them, where this host is the
// first of its data centre. The caller holds the lock.
func (c *Control) forgottenCrashers(now time.Time) map[record.Key]int64 {
	out := make(map[record.Key]int64)
	if c.rank() != 0 {
		return out
	}
	for key, r := range c.records.inForce {
		s, ok := r.Spec.(*record.Crasher)
		if !ok {
			continue
		}
		last := slices.MaxFunc(s.Crashes, func(x, y record.InstanceCrash) int { return int(x.AtMS - y.AtMS) })
		if now.Sub(time.UnixMilli(last.AtMS)) > crash.RetentionPeriod || c.blamed(key.Name, s.Crashes) < crash.BlockAfterIncidents {
			out[key] = r.Version
		}
	}
	return out
}

// blamed counts the ends that a request, named by its print, has not been cleared of. The
// caller holds the lock.
func (c *Control) blamed(print string, ends []record.InstanceCrash) int {
	n := 0
	for _, e := range ends {
		if _, cleared := c.replica.Set(msg.SetCrashes).Get(config.Key{Kind: clearedKind, Name: e.ID + printStart + print}); !cleared {
			n++
		}
	}
	return n
}
