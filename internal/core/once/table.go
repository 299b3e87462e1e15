package once

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// ClaimOutcome is the owner's decision about a keyed request.
type ClaimOutcome uint8

const (
	// ClaimRefused means that the host does not own the shard, has frozen it or has
	// no authority at present, or that its table is full. The request was not run.
	ClaimRefused ClaimOutcome = iota
	// ClaimRun permits this request to run, and no other with the key.
	ClaimRun
	// ClaimBusy means that a request with the key is in progress.
	ClaimBusy
	// ClaimReplay returns the stored response.
	ClaimReplay
	// ClaimKeyReused means that the key was used for a request with another body.
	ClaimKeyReused
	// ClaimMayHaveRun means that a request with the key may have run.
	ClaimMayHaveRun
	// ClaimResponseNotStored means that the request ran, but its response was not
	// stored.
	ClaimResponseNotStored
	// ClaimUnknown means that an earlier owner may have known the key while
	// this one does not.
	ClaimUnknown
	// ClaimTooOld means that the key was created before the window in which
	// the owner remembers keys.
	ClaimTooOld
)

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
	// enteredAt is when the state was entered; expiresAt is when a claim without
	// a result becomes keyMayHaveRun.
	enteredAt, expiresAt time.Time
	status               uint16
	header               []msg.Field
	body                 []byte
	stored               bool
}

// TableConfig holds the limits of a Table. As a Table holds one shard, they apply to each
// shard.
type TableConfig struct {
	// Window is how long a finished key is remembered.
	Window time.Duration
	// MaxKeys limits the number of keys. When it is reached, new keys are
	// refused: evicting a key early could run its request twice.
	MaxKeys int
	// MaxBytes limits the total size of stored response bodies. A response that
	// does not fit is not stored, and a repeated request gets ClaimResponseNotStored.
	MaxBytes int
	// MaxSkew is the maximum tolerated difference between the clocks of callers
	// and owner.
	MaxSkew time.Duration
	// ClaimTimeout is how long a claim may remain without a result.
	ClaimTimeout time.Duration
}

// DefaultTableConfig returns the limits of one shard, for a host with 128 MB for the
// control plane, the part of the proxy that exchanges state with the other hosts.
func DefaultTableConfig() TableConfig {
	return TableConfig{Window: 10 * time.Minute, MaxKeys: 20000, MaxBytes: 8 << 20, MaxSkew: time.Second, ClaimTimeout: 11 * time.Minute}
}

// Table holds the idempotency keys of one shard at its owner. Wall times are in
// Unix milliseconds and are only compared with the timestamps in keys.
type Table struct {
	cfg     TableConfig
	entries map[string]*keyEntry
	bytes   int
	// completeSince is the wall time up to which keys may be missing from this table.
	// opaqueFrom is the time from which opaque keys, those without a timestamp, are
	// accepted.
	completeSince int64
	opaqueFrom    time.Time
	active        bool
}

// NewTable creates the table of an owner that has not received the previous
// owner's table. Keys created before Activate are treated as unknown, even for the
// first map of a service: an operator may have deleted an earlier map.
func NewTable(cfg TableConfig) *Table {
	return &Table{cfg: cfg, entries: make(map[string]*keyEntry)}
}

// Activate records when the owner first has authority. The previous owner may have
// accepted claims up to that time but not later, so keys created later cannot
// have been claimed elsewhere. Only the first call has an effect.
func (t *Table) Activate(now time.Time, wallMS int64) {
	if t.active {
		return
	}
	t.active = true
	t.completeSince = wallMS + t.cfg.MaxSkew.Milliseconds()
	t.opaqueFrom = now.Add(max(t.cfg.Window, t.cfg.ClaimTimeout))
}

// Len returns the number of keys.
func (t *Table) Len() int { return len(t.entries) }

// Claim decides whether a keyed request may run. Repeating the claim of a
// request that holds the key returns ClaimRun again.
func (t *Table) Claim(now time.Time, wallMS int64, c *msg.KeyClaim) (ClaimOutcome, *msg.ClaimReply) {
	e, known := t.entries[c.Key]
	if !known {
		outcome := t.admitNew(now, wallMS, c)
		if outcome == ClaimRun {
			t.entries[c.Key] = &keyEntry{
				bodyHash: c.BodyHash, requestID: c.RequestID, state: keyClaimed, enteredAt: now, expiresAt: now.Add(t.cfg.ClaimTimeout),
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
	case !e.stored:
		return ClaimResponseNotStored, nil
	default:
		return ClaimReplay, &msg.ClaimReply{Status: e.status, Header: e.header, Body: e.body}
	}
}

// admitNew decides about a key that is not in the table.
func (t *Table) admitNew(now time.Time, wallMS int64, c *msg.KeyClaim) ClaimOutcome {
	created := c.CreatedMS
	if created > wallMS+t.cfg.MaxSkew.Milliseconds() {
		created = 0 // the caller's clock is too far ahead: treated as an opaque key
	}
	switch {
	case created == 0 && now.Before(t.opaqueFrom):
		return ClaimUnknown
	case created != 0 && created <= t.completeSince:
		return ClaimUnknown
	case created != 0 && wallMS-created > (t.cfg.Window-t.cfg.MaxSkew).Milliseconds():
		return ClaimTooOld
	case len(t.entries) >= t.cfg.MaxKeys:
		return ClaimRefused
	default:
		return ClaimRun
	}
}

// RecordResult records the result of a claimed request. The key of a request that did
// not run is released.
func (t *Table) RecordResult(now time.Time, d *msg.KeyResult) {
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
		if e.stored = d.Stored && t.bytes+len(d.Body) <= t.cfg.MaxBytes; e.stored {
			e.body = d.Body
			t.bytes += len(d.Body)
		}
	}
	e.enteredAt = now
}

// Tick removes keys whose window has passed and marks claims without a result
// as keyMayHaveRun once they expire.
func (t *Table) Tick(now time.Time) {
	for key, e := range t.entries {
		switch {
		case e.state == keyClaimed && !now.Before(e.expiresAt):
			e.state, e.enteredAt = keyMayHaveRun, now
		case e.state != keyClaimed && now.Sub(e.enteredAt) >= t.cfg.Window:
			t.bytes -= len(e.body)
			delete(t.entries, key)
		}
	}
}

// Export returns the entries for the next owner, together with the limits of
// what the table knows: since in Unix milliseconds, and opaqueMS, the time in
// milliseconds until opaque keys are accepted.
func (t *Table) Export(now time.Time) (entries []msg.KeyEntry, since, opaqueMS int64) {
	for key, e := range t.entries {
		entries = append(entries, msg.KeyEntry{
			Key: key, BodyHash: e.bodyHash, RequestID: e.requestID, State: uint8(e.state),
			AgeMS: now.Sub(e.enteredAt).Milliseconds(), Stored: e.stored, Status: e.status, Header: e.header, Body: e.body,
		})
	}
	return entries, t.completeSince, max(t.opaqueFrom.Sub(now).Milliseconds(), 0)
}

// ImportTable restores a table from the result of Export.
func ImportTable(cfg TableConfig, now time.Time, entries []msg.KeyEntry, since, opaqueMS int64) *Table {
	t := &Table{cfg: cfg, entries: make(map[string]*keyEntry, len(entries)), completeSince: since, active: true}
	if opaqueMS > 0 {
		t.opaqueFrom = now.Add(time.Duration(opaqueMS) * time.Millisecond)
	}
	for _, m := range entries {
		at := now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
		t.entries[m.Key] = &keyEntry{
			bodyHash: m.BodyHash, requestID: m.RequestID, state: keyState(m.State), enteredAt: at, expiresAt: at.Add(cfg.ClaimTimeout),
			stored: m.Stored, status: m.Status, header: m.Header, body: m.Body,
		}
		t.bytes += len(m.Body)
	}
	return t
}
