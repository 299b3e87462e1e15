package once

import (
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/verdict"
)

// ClaimOutcome is the owner's decision about a keyed request.
type ClaimOutcome uint8

const (
	// ClaimRefused means that the host does not own the shard, has frozen it or does not
	// have authority, or that the table is full. The request was not run.
	ClaimRefused ClaimOutcome = iota
	// ClaimRun permits this request, and no other with the key, to run.
	ClaimRun
	// ClaimBusy means that a request with the key is in progress.
	ClaimBusy
	// ClaimReplay means that the request ran before. The stored response is returned.
	ClaimReplay
	// ClaimKeyReused means that the key was used for a request with another body.
	ClaimKeyReused
	// ClaimMayHaveRun means that a request with the key may have run.
	ClaimMayHaveRun
	// ClaimResponseNotStored means that the request ran, but its response was not
	// stored.
	ClaimResponseNotStored
	// ClaimUnknown means that the key is not in the table, but an earlier owner may have
	// accepted a claim for it.
	ClaimUnknown
	// ClaimTooOld means that the key was created so long ago that the owner may have
	// removed it from the table, see TableConfig.Window.
	ClaimTooOld
)

// keyState is the state of a key in a table. Its values are sent in msg.KeyEntry.
type keyState uint8

const (
	// keyClaimed means that a request with the key may be running.
	keyClaimed keyState = iota
	// keyFinished means that the request ran and its response was complete.
	keyFinished
	// keyMayHaveRun means that it is unknown whether the request ran, or that it ran and
	// its response was not complete.
	keyMayHaveRun
)

type keyEntry struct {
	bodyHash  uint64
	requestID string
	state     keyState
	// enteredAt is when the state was entered, and expiresAt when a claim without a
	// result becomes keyMayHaveRun.
	enteredAt, expiresAt time.Time
	status               uint16
	header               []msg.Field
	body                 []byte
	stored               bool
}

// TableConfig holds the limits of a Table, which apply to each shard.
type TableConfig struct {
	// Window is how long a key stays in the table after its request has ended or its claim
	// has expired.
	Window time.Duration
	// MaxKeys limits the number of keys. When it is reached, new keys are refused, since
	// a request could run twice if its key were evicted early.
	MaxKeys int
	// MaxBytes limits the total size of stored response bodies. A response that
	// does not fit is not stored, and a retried request gets ClaimResponseNotStored.
	MaxBytes int
	// MaxSkew is the maximum tolerated clock skew between the callers and the owner.
	MaxSkew time.Duration
	// ClaimTimeout is how long a claim may remain without a result, until its request
	// counts as may-have-run. It should exceed the longest timeout of a route, 10 minutes,
	// so that no claim expires while its request may be running.
	ClaimTimeout time.Duration
}

// DefaultTableConfig returns the default limits. They suit a host with 128 MB for the
// control plane, the part of the proxy that exchanges state with the other hosts.
func DefaultTableConfig() TableConfig {
	return TableConfig{Window: 10 * time.Minute, MaxKeys: 20000, MaxBytes: 8 << 20, MaxSkew: time.Second, ClaimTimeout: 11 * time.Minute}
}

// Table holds the idempotency keys of one shard at its owner. Wall times are in
// Unix milliseconds and are only compared with the timestamps in keys. An opaque key is
// one without a timestamp.
type Table struct {
	cfg     TableConfig
	entries map[string]*keyEntry
	// bodyBytes is the total size of the stored response bodies.
	bodyBytes int
	// completeSinceMS is a wall time: keys created up to then may be missing from the
	// table.
	completeSinceMS int64
	// opaqueAcceptedFrom is when the table starts to accept new opaque keys. Until then
	// they are unknown, since an earlier owner may have accepted a claim for them.
	opaqueAcceptedFrom time.Time
	activated          bool
}

// NewTable creates the table of an owner that has not received the previous owner's
// table. Keys created before Activate are unknown, also under the initial map of a
// service, since an operator may have deleted an earlier map.
func NewTable(cfg TableConfig) *Table {
	return &Table{cfg: cfg, entries: make(map[string]*keyEntry)}
}

// Activate records that the owner has authority from now on. Keys created later cannot
// have been claimed at the previous owner, which accepted no claims after that time. New
// opaque keys are accepted after ClaimTimeout and Window have passed in turn: a request that
// was running has ended after ClaimTimeout, and its key must be remembered for another
// Window. Only the first call has an effect.
func (t *Table) Activate(now time.Time, wallMS int64) {
	if t.activated {
		return
	}
	t.activated = true
	t.completeSinceMS = wallMS + t.cfg.MaxSkew.Milliseconds()
	t.opaqueAcceptedFrom = now.Add(t.cfg.ClaimTimeout + t.cfg.Window)
}

// Len returns the number of keys.
func (t *Table) Len() int { return len(t.entries) }

// Claim decides whether a keyed request may run. A retried claim by the request that
// has claimed the key returns ClaimRun again. The reply is only returned with ClaimReplay.
// Activate must have been called, unless the table was imported.
func (t *Table) Claim(now time.Time, wallMS int64, c *msg.KeyClaim) (ClaimOutcome, *msg.ClaimReply) {
	e, known := t.entries[c.Key]
	if !known {
		outcome := t.decideNew(now, wallMS, c)
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

// decideNew decides about a claim of a key that is not in the table.
func (t *Table) decideNew(now time.Time, wallMS int64, c *msg.KeyClaim) ClaimOutcome {
	created := c.CreatedMS
	if created > wallMS+t.cfg.MaxSkew.Milliseconds() {
		created = 0 // the caller's clock is too far ahead, so the timestamp is not used
	}
	switch {
	case created == 0 && now.Before(t.opaqueAcceptedFrom):
		return ClaimUnknown
	case created != 0 && created <= t.completeSinceMS:
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
// not run is removed, so that it can be claimed again. If its claim had expired, the key
// stays in the table as keyMayHaveRun.
func (t *Table) RecordResult(now time.Time, r *msg.KeyResult) {
	e, ok := t.entries[r.Key]
	if !ok || e.requestID != r.RequestID || e.state == keyFinished {
		return
	}
	switch {
	case r.Verdict == verdict.NotRun && e.state == keyClaimed:
		delete(t.entries, r.Key)
		return
	case r.Verdict != verdict.Ran || !r.Complete:
		e.state = keyMayHaveRun
	default:
		e.state = keyFinished
		e.status, e.header = r.Status, r.Header
		if e.stored = r.StoreResponse && t.bodyBytes+len(r.Body) <= t.cfg.MaxBytes; e.stored {
			e.body = r.Body
			t.bodyBytes += len(r.Body)
		}
	}
	e.enteredAt = now
}

// Tick removes keys whose window has passed, and changes the state of expired claims to
// keyMayHaveRun.
func (t *Table) Tick(now time.Time) {
	for key, e := range t.entries {
		switch {
		case e.state == keyClaimed && !now.Before(e.expiresAt):
			e.state, e.enteredAt = keyMayHaveRun, now
		case e.state != keyClaimed && now.Sub(e.enteredAt) >= t.cfg.Window:
			t.bodyBytes -= len(e.body)
			delete(t.entries, key)
		}
	}
}

// Export returns the entries for the next owner, together with what they may lack: keys
// created up to completeSinceMS, in Unix milliseconds, may be missing, and new opaque keys
// are only accepted after opaqueMS milliseconds.
func (t *Table) Export(now time.Time) (entries []msg.KeyEntry, completeSinceMS, opaqueMS int64) {
	for key, e := range t.entries {
		entries = append(entries, msg.KeyEntry{
			Key: key, BodyHash: e.bodyHash, RequestID: e.requestID, State: uint8(e.state),
			AgeMS: now.Sub(e.enteredAt).Milliseconds(), Stored: e.stored, Status: e.status, Header: e.header, Body: e.body,
		})
	}
	return entries, t.completeSinceMS, max(t.opaqueAcceptedFrom.Sub(now).Milliseconds(), 0)
}

// ImportTable restores a table from the result of Export.
func ImportTable(cfg TableConfig, now time.Time, entries []msg.KeyEntry, completeSinceMS, opaqueMS int64) *Table {
	t := &Table{cfg: cfg, entries: make(map[string]*keyEntry, len(entries)), completeSinceMS: completeSinceMS, activated: true}
	if opaqueMS > 0 {
		t.opaqueAcceptedFrom = now.Add(time.Duration(opaqueMS) * time.Millisecond)
	}
	for _, m := range entries {
		at := now.Add(-time.Duration(m.AgeMS) * time.Millisecond)
		t.entries[m.Key] = &keyEntry{
			bodyHash: m.BodyHash, requestID: m.RequestID, state: keyState(m.State), enteredAt: at, expiresAt: at.Add(cfg.ClaimTimeout),
			stored: m.Stored, status: m.Status, header: m.Header, body: m.Body,
		}
		t.bodyBytes += len(m.Body)
	}
	return t
}
