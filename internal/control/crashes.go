package control

import (
	"log/slog"
	"strings"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/config"
	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/event"
	"github.com/radishhoist/radishhoist/internal/msg"
)

const (
	// crashKind is the kind of the crash entries in msg.SetCrashes, whose name is the crash
	// ID. clearanceKind is the kind of the entries that clear a request of a crash, whose
	// name consists of the crash ID and the fingerprint of the request.
	crashKind, clearanceKind = "End", "Cleared"
	// fingerprintSeparator precedes the fingerprint in the name of a clearance.
	fingerprintSeparator = "/"
	// pruneInterval is how often expired crash entries are removed.
	pruneInterval = time.Minute
)

// PublishCrash publishes the crash of an instance to all hosts.
func (c *Control) PublishCrash(crashed crash.Crash) {
	m := msg.InstanceCrash{Service: crashed.Software.Service, SoftwareVersion: crashed.Software.Version, Host: crashed.Host, DetectedAtMS: crashed.DetectedAt.UnixMilli()}
	for _, fp := range crashed.Fingerprints {
		m.Fingerprints = append(m.Fingerprints, uint64(fp))
	}
	entry := msg.Entry{Kind: crashKind, Name: crashed.ID, Version: m.DetectedAtMS}
	var err error
	if entry.Value, err = m.MarshalMsg(nil); err != nil {
		c.logRefused(crashed.DetectedAt, entry, err)
		return
	}
	c.publishCrashEntry(entry)
}

// PublishClearance tells all hosts that a request did not cause a crash.
func (c *Control) PublishClearance(crashID string, fp crash.Fingerprint) {
	c.mu.Lock()
	version := c.crashVersion(crashID, time.Now())
	c.mu.Unlock()
	c.publishCrashEntry(clearanceEntry(crashID, fp, version))
}

func (c *Control) publishCrashEntry(e msg.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replica.Publish(c.peers(), msg.SetCrashes, []msg.Entry{e})
	c.flush(time.Now())
}

// applyCrashEntry applies an entry of msg.SetCrashes. The version of a crash is the time at
// which it was detected, from which expired entries are recognized. A clearance has the
// version of its crash, or the time of the clearance if the crash was unknown.
func (c *Control) applyCrashEntry(now time.Time, e msg.Entry) {
	if e.Deleted || crashEntryExpired(now, e) {
		return
	}
	var err error
	switch e.Kind {
	case crashKind:
		var crashed crash.Crash
		if crashed, err = decodeCrash(e); err == nil {
			c.hooks.Crashed(crashed)
		}
	case clearanceKind:
		var fp crash.Fingerprint
		separator := strings.LastIndex(e.Name, fingerprintSeparator)
		if fp, err = crash.ParseFingerprint(e.Name[separator+1:]); err == nil && separator >= 0 {
			c.hooks.Cleared(e.Name[:separator], fp)
		}
	}
	if err != nil {
		c.logRefused(now, e, err)
	}
}

func decodeCrash(e msg.Entry) (crash.Crash, error) {
	var m msg.InstanceCrash
	if _, err := m.UnmarshalMsg(e.Value); err != nil {
		return crash.Crash{}, err
	}
	crashed := crash.Crash{
		ID: e.Name, Software: crash.Software{Service: m.Service, Version: m.SoftwareVersion},
		Host: m.Host, DetectedAt: time.UnixMilli(m.DetectedAtMS),
	}
	for _, fp := range m.Fingerprints {
		crashed.Fingerprints = append(crashed.Fingerprints, crash.Fingerprint(fp))
	}
	return crashed, nil
}

// logRefused logs, at a limited rate, that an entry cannot be decoded or encoded.
func (c *Control) logRefused(now time.Time, e msg.Entry, cause error) {
	if suppressed, ok := c.decodeErrorLimiter.Allow(now); ok {
		event.Log(c.log, event.RecordRefused, slog.String("record", e.Kind+"/"+e.Name), slog.String("cause", cause.Error()),
			slog.Uint64("linesLeftOut", suppressed))
	}
}

// crashEntryExpired reports whether an entry of msg.SetCrashes is past the retention period.
// An entry that is dated further than this period in the future counts as expired too.
func crashEntryExpired(now time.Time, e msg.Entry) bool {
	return now.Sub(time.UnixMilli(e.Version)).Abs() > crash.RetentionPeriod
}

// pruneCrashes removes expired crash entries. The caller holds the lock.
func (c *Control) pruneCrashes(now time.Time) {
	if now.Sub(c.crashesPrunedAt) < pruneInterval {
		return
	}
	c.crashesPrunedAt = now
	set := c.replica.Set(msg.SetCrashes)
	var expired []config.Key
	set.Each(func(e msg.Entry) {
		if crashEntryExpired(now, e) {
			expired = append(expired, config.Key{Kind: e.Kind, Name: e.Name})
		}
	})
	for _, key := range expired {
		set.Remove(key)
	}
}
