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
	// endKind is the kind of an end in msg.SetEnds, named by its id; clearedKind that of
	// what a request was cleared of, named by the end's id and the request's print.
	endKind, clearedKind = "End", "Cleared"
	// printStart begins the print in a name of clearedKind.
	printStart = "/"
	// endsSweep is how often old ends are dropped.
	endsSweep = time.Minute
)

// PublishCrash tells all hosts of the end of an instance.
func (c *Control) PublishCrash(e crash.Crash) {
	m := msg.InstanceCrash{Service: e.Software.Service, SoftwareVersion: e.Software.Version, Host: e.Host, DetectedAtMS: e.DetectedAt.UnixMilli()}
	for _, p := range e.Fingerprints {
		m.Fingerprints = append(m.Fingerprints, uint64(p))
	}
	entry := msg.Entry{Kind: endKind, Name: e.ID, Version: m.DetectedAtMS}
	var err error
	if entry.Value, err = m.MarshalMsg(nil); err != nil {
		c.refuseEnd(e.DetectedAt, entry, err)
		return
	}
	c.tellEnds(entry)
}

// PublishClearance tells all hosts that a request had no part in an end.
func (c *Control) PublishClearance(end string, p crash.Fingerprint) {
	c.mu.Lock()
	version := c.endVersion(end, time.Now())
	c.mu.Unlock()
	c.tellEnds(clearedEntry(end, p, version))
}

func (c *Control) tellEnds(e msg.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replica.Publish(c.peers(), msg.SetCrashes, []msg.Entry{e})
	c.flush(time.Now())
}

// applyEnd takes an entry of msg.SetEnds. The entry's version is when it was made, so
// that one that is too old to count is known by it.
func (c *Control) applyEnd(now time.Time, e msg.Entry) {
	if e.Deleted || oldEnd(now, e) {
		return
	}
	var err error
	switch e.Kind {
	case endKind:
		var end crash.Crash
		if end, err = readEnd(e); err == nil {
			c.hooks.Crashed(end)
		}
	case clearedKind:
		var p crash.Fingerprint
		cut := strings.LastIndex(e.Name, printStart)
		if p, err = crash.ParseFingerprint(e.Name[cut+1:]); err == nil && cut >= 0 {
			c.hooks.Cleared(e.Name[:cut], p)
		}
	}
	if err != nil {
		c.refuseEnd(now, e, err)
	}
}

func readEnd(e msg.Entry) (crash.Crash, error) {
	var m msg.InstanceCrash
	if _, err := m.UnmarshalMsg(e.Value); err != nil {
		return crash.Crash{}, err
	}
	end := crash.Crash{
		ID: e.Name, Software: crash.Software{Service: m.Service, Version: m.SoftwareVersion},
		Host: m.Host, DetectedAt: time.UnixMilli(m.DetectedAtMS),
	}
	for _, p := range m.Fingerprints {
		end.Fingerprints = append(end.Fingerprints, crash.Fingerprint(p))
	}
	return end, nil
}

// refuseEnd logs an entry that cannot be read or written, up to a rate.
func (c *Control) refuseEnd(now time.Time, e msg.Entry, cause error) {
	if leftOut, ok := c.unreadLines.Allow(now); ok {
		event.Log(c.log, event.RecordRefused, slog.String("record", e.Kind+"/"+e.Name), slog.String("cause", cause.Error()),
			slog.Uint64("linesLeftOut", leftOut))
	}
}

// oldEnd says that an entry of msg.SetEnds is no longer remembered.
func oldEnd(now time.Time, e msg.Entry) bool {
	return now.Sub(time.UnixMilli(e.Version)).Abs() > crash.RetentionPeriod
}

// sweepEnds drops ends that are no longer remembered. The caller holds the lock.
func (c *Control) sweepEnds(now time.Time) {
	if now.Sub(c.endsSwept) < endsSweep {
		return
	}
	c.endsSwept = now
	set := c.replica.Set(msg.SetCrashes)
	var old []config.Key
	set.Each(func(e msg.Entry) {
		if oldEnd(now, e) {
			old = append(old, config.Key{Kind: e.Kind, Name: e.Name})
		}
	})
	for _, key := range old {
		set.Remove(key)
	}
}
