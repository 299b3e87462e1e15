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
	// crashKind is the kind of a crash in msg.SetCrashes, named by its ID. clearanceKind is
	// the kind of an entry that clears a request of a crash, named by the crash ID and
	// the fingerprint of the request.
	crashKind, clearanceKind = "End", "Cleared"
	// fingerprintSeparator precedes the fingerprint in the name of a clearance.
	fingerprintSeparator = "/"
	// pruneInterval is how often expired crash entries are removed.
	pruneInterval = time.Minute
)

// PublishCrash publishes the crash of an instance to all hosts.
func (c *Control) PublishCrash(e crash.Crash) {
	m := msg.InstanceCrash{Service: e.Software.Service, SoftwareVersion: e.Software.Version, Host: e.Host, DetectedAtMS: e.DetectedAt.UnixMilli()}
	for _, p := range e.Fingerprints {
		m.Fingerprints = append(m.Fingerprints, uint64(p))
	}
	entry := msg.Entry{Kind: crashKind, Name: e.ID, Version: m.DetectedAtMS}
	var err error
	if entry.Value, err = m.MarshalMsg(nil); err != nil {
		c.logRefused(e.DetectedAt, entry, err)
		return
	}
	c.publishCrashEntry(entry)
}

// PublishClearance publishes to all hosts that a request did not cause a crash.
func (c *Control) PublishClearance(crashID string, p crash.Fingerprint) {
	c.mu.Lock()
	version := c.crashVersion(crashID, time.Now())
	c.mu.Unlock()
	c.publishCrashEntry(clearanceEntry(crashID, p, version))
}

func (c *Control) publishCrashEntry(e msg.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replica.Publish(c.peers(), msg.SetCrashes, []msg.Entry{e})
	c.flush(time.Now())
}

// applyCrashEntry applies an entry of msg.SetCrashes. The version is the time at which the
// crash was detected, so expired entries are recognized by it. A clearance has the version
// of its crash, or the time of the clearance if the crash was unknown.
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
		var p crash.Fingerprint
		separator := strings.LastIndex(e.Name, fingerprintSeparator)
		if p, err = crash.ParseFingerprint(e.Name[separator+1:]); err == nil && separator >= 0 {
			c.hooks.Cleared(e.Name[:separator], p)
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
	for _, p := range m.Fingerprints {
		crashed.Fingerprints = append(crashed.Fingerprints, crash.Fingerprint(p))
	}
	return crashed, nil
}

// logRefused logs, at a limited rate, an entry that cannot be decoded or encoded.
func (c *Control) logRefused(now time.Time, e msg.Entry, cause error) {
	if leftOut, ok := c.decodeErrorLog.Allow(now); ok {
		event.Log(c.log, event.RecordRefused, slog.String("record", e.Kind+"/"+e.Name), slog.String("cause", cause.Error()),
			slog.Uint64("linesLeftOut", leftOut))
	}
}

// crashEntryExpired reports whether an entry of msg.SetCrashes is past the retention period.
// An entry dated that far in the future counts as expired too.
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
