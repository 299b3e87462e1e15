package once

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// ClaimOutcome is the owner's word on a keyed request.
type ClaimOutcome uint8

const (
	// ClaimRefused means the owner has no authority now, or no room; nothing
	// has run.
	ClaimRefused ClaimOutcome = iota
	// ClaimRun lets this request run, and no other with the key.
	ClaimRun
	// ClaimBusy means a request with the key is in progress.
	ClaimBusy
	// ClaimReplay gives the finished answer again.
	ClaimReplay
	// ClaimKeyReused means the key stands for a request with another body.
	ClaimKeyReused
	// ClaimMayHaveRun means a request with the key may have run.
	ClaimMayHaveRun
	// ClaimResponseNotStored means the request ran, but its answer is not kept.
	ClaimResponseNotStored
	// ClaimUnknown means the key may be one that an earlier owner knew, and
	// this one does not.
	ClaimUnknown
	// ClaimTooOld means the key was minted before what the owner remembers.
	ClaimTooOld
)

// keyState is a key's place in its life.
type keyState uint8

const (
	keyClaimed keyState = iota
	keyFinished
	keyMayHaveRun
)

type keyEntry struct {
	bodyHash  uint64
	requestID string
	state     keyState
	// at is when the state began; due is when a claim without end counts as
	// may-have-run.
	at, due time.Time
	status  uint16
	header  []msg.Field
	body    []byte
	kept    bool
}

// TableConfig bounds a Table.
type TableConfig struct {
	// Window is how long a finished key is remembered.
	Window time.Duration
	// MaxKeys bounds the keys; beyond it claims are refused, because
	// forgetting one early could run its work twice.
	MaxKeys int
	// MaxBytes bounds the kept answers; beyond it an answer is not kept, and
	// its repeat is told that it ran.
	MaxBytes int
	// Skew bounds how far callers' clocks may be off from the owner's.
	Skew time.Duration
	// ClaimLife is how long a claim may go without an end.
	ClaimLife time.Duration
}

// DefaultTableConfig suits a host with 128 MB for control.
func DefaultTableConfig() TableConfig {
	return TableConfig{Window: 10 * time.Minute, MaxKeys: 20000, MaxBytes: 8 << 20, Skew: time.Second, ClaimLife: 11 * time.Minute}
}

// Table is the memory of one shard's owner. Wall times are Unix milliseconds;
// they are compared with the time stamps of keys alone.
type Table struct {
	cfg     TableConfig
	entries map[string]*keyEntry
	bytes   int
	// since is the wall time before which this table knows nothing, and
	// opaqueFrom the time from which keys without a time stamp are taken.
	since      int64
	opaqueFrom time.Time
	begun      bool
}

// NewTable makes the table of an owner that takes over without the earlier
// owner's table. It knows nothing of keys minted before Begin, also where it
// is the shard's first: an operator may have removed an earlier map.
func NewTable(cfg TableConfig) *Table {
	return &Table{cfg: cfg, entries: make(map[string]*keyEntry)}
}

// Begin marks the moment at which the owner first has authority. The earlier
// owner may have taken claims until then, and none after: keys minted later
// cannot have been claimed. Only the first call counts.
func (t *Table) Begin(now time.Time, wallMS int64) {
	if t.begun {
		return
	}
	t.begun = true
	t.since = wallMS + t.cfg.Skew.Milliseconds()
	t.opaqueFrom = now.Add(max(t.cfg.Window, t.cfg.ClaimLife))
}

// Len counts the keys.
func (t *Table) Len() int { return len(t.entries) }

// Claim decides about one keyed request. A claim that the same request repeats
// is given again.
func (t *Table) Claim(now time.Time, wallMS int64, c *msg.KeyClaim) (ClaimOutcome, *msg.KeyClaimed) {
	e, known := t.entries[c.Key]
	if !known {
		outcome := t.admitNew(now, wallMS, c)
		if outcome == ClaimRun {
			t.entries[c.Key] = &keyEntry{
				bodyHash: c.BodyHash, requestID: c.RequestID, state: keyClaimed, at: now, due: now.Add(t.cfg.ClaimLife),
			}
		}
		return outcome, nil
	}
	switch {
	case e.bodyHash != c.BodyHash:
		return ClaimKeyReused, nil
	case e.state == keyClaimed && e.requestID == c.RequestID:
		return ClaimRun, nil
	case e.state == keyClaimed:
		return ClaimBusy, nil
	case e.state == keyMayHaveRun:
		return ClaimMayHaveRun, nil
	case !e.kept:
		return ClaimResponseNotStored, nil
	default:
		return ClaimReplay, &msg.KeyClaimed{Status: e.status, Header: e.header, Body: e.body}
	}
}

// admitNew decides about a key that the table does not hold.
func (t *Table) admitNew(now time.Time, wallMS int64, c *msg.KeyClaim) ClaimOutcome {
	minted := c.CreatedMS
	if minted > wallMS+t.cfg.Skew.Milliseconds() {
		minted = 0 // a clock that is so far ahead proves nothing
	}
	switch {
	case minted == 0 && now.Before(t.opaqueFrom):
		return ClaimUnknown
	case minted != 0 && minted <= t.since:
		return ClaimUnknown
	case minted != 0 && wallMS-minted > (t.cfg.Window-t.cfg.Skew).Milliseconds():
		return ClaimTooOld
	case len(t.entries) >= t.cfg.MaxKeys:
		return ClaimRefused
	default:
		return ClaimRun
	}
}

// Done takes the end of a claimed request. A request that did not run gives
// its key back.
func (t *Table) Done(now time.Time, d *msg.KeyResult) {
	e, ok := t.entries[d.Key]
	if !ok || e.requestID != d.RequestID || e.state == keyFinished {
		return
	}
	switch {
	case d.Verdict == verdict.NotRun && e.state == keyClaimed:
		delete(t.entries, d.Key)
		return
	case d.Verdict != verdict.Ran || !d.Complete:
		e.state = keyMayHaveRun
	default:
		e.state = keyFinished
		e.status, e.header = d.Status, d.Header
		if e.kept = d.Stored && t.bytes+len(d.Body) <= t.cfg.MaxBytes; e.kept {
			e.body = d.Body
			t.bytes += len(d.Body)
		}
	}
	e.at = now
}

// Tick forgets keys after the window and closes claims that never ended.
func (t *Table) Tick(now time.Time) {
	for key, e := range t.entries {
		switch {
		case e.state == keyClaimed && !now.Before(e.due):
			e.state, e.at = keyMayHaveRun, now
		case e.state != keyClaimed && now.Sub(e.at) >= t.cfg.Window:
			t.bytes -= len(e.body)
			delete(t.entries, key)
		}
	}
}

// Export lists the table for its next owner, with what it does not know.
func (t *Table) Export(now time.Time) (entries []msg.KeyEntry, since, opaqueMS int64) {
	for key, e := range t.entries {
		entries = append(entries, msg.KeyEntry{
			Key: key, BodyHash: e.bodyHash, RequestID: e.requestID, State: uint8(e.state),
			AgeMS: now.Sub(e.at).Milliseconds(), Stored: e.kept, Status: e.status, Header: e.header, Body: e.body,
		})
	}
	return entries, t.since, max(t.opaqueFrom.Sub(now).Milliseconds(), 0)
}

// ImportTable rebuilds a table that was handed over.
func ImportTable(cfg TableConfig, now time.Time, entries []msg.KeyEntry, since, opaqueMS int64) *Table {
	t := &Table{cfg: cfg, entries: make(map[string]*keyEntry, len(entries)), since: since, begun: true}
	if opaqueMS > 0 {
		t.opaqueFrom = now.Add(time.Duration(opaqueMS) * time.Millisecond)
	}
	for _, m := range entries {
		at := now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
		t.entries[m.Key] = &keyEntry{
			bodyHash: m.BodyHash, requestID: m.RequestID, state: keyState(m.State), at: at, due: at.Add(cfg.ClaimLife),
			kept: m.Stored, status: m.Status, header: m.Header, body: m.Body,
		}
		t.bytes += len(m.Body)
	}
	return t
}
