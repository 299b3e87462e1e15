package control

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/crash"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/logtest"
	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
)

// Crash and clearance entries from peers with any content must be applied or rejected without
// a failure, and an applied entry must identify the crash by its name.
func FuzzCrashEntries(f *testing.F) {
	m := msg.InstanceCrash{Service: "desk", SoftwareVersion: "1", DetectedAtMS: 1, Fingerprints: []uint64{7}}
	encoded, err := m.MarshalMsg(nil)
	assert.NilError(f, err)
	f.Add(crashKind, "i@1", encoded)
	f.Add(crashKind, "", encoded[:len(encoded)/2])
	f.Add(clearanceKind, "i@1/0000000000000007", []byte(nil))
	f.Add(clearanceKind, "/", []byte{0xc1})
	f.Add(clearanceKind, "no fingerprint", []byte(nil))
	f.Add("other", "x", []byte(nil))
	f.Fuzz(func(t *testing.T, kind, name string, value []byte) {
		tracker := crash.NewTracker()
		now := time.Now()
		c := newControlWithStore(unavailableStore{}, func(*directory.Directory) {})
		c.hooks.Crashed = func(crashed crash.Crash) {
			assert.Equal(t, crashed.ID, name)
			tracker.Add(now, crashed)
		}
		c.hooks.Cleared = func(crashID string, fp crash.Fingerprint) {
			assert.Equal(t, crashID+fingerprintSeparator, name[:len(crashID)+1])
			tracker.AddClearance(now, crashID, fp)
		}
		c.applyCrashEntry(now, msg.Entry{Kind: kind, Name: name, Version: now.UnixMilli(), Value: value})
		for _, v := range tracker.Assess(now) {
			assert.Assert(t, !v.BlockedEverywhere(now), "one crash must not block a request")
		}
	})
}

// refusingStore is a platform that refuses writes until acceptWrites is set.
type refusingStore struct {
	unavailableStore
	acceptWrites bool
	written      []string
}

func (s *refusingStore) Put(_ context.Context, key record.Key, value []byte, _ int64) (objects.Object, error) {
	if !s.acceptWrites {
		return objects.Object{}, &objects.UnavailableError{Cause: errors.New("403 Forbidden"), Refused: true}
	}
	s.written = append(s.written, key.Name)
	return objects.Object{Kind: key.Kind, Name: key.Name, Version: 1, Value: value}, nil
}

// Guards against unnoticed failures to store a blocked request. A platform that refused the
// record was treated as unavailable, and nothing was logged. After a loss of all processes,
// the request would have crashed instances again without warning.
func TestRefusedRecordWriteIsLogged(t *testing.T) {
	store := &refusingStore{}
	var lines logtest.Buffer
	c := newControlWithStore(store, func(*directory.Directory) {})
	c.log = slog.New(slog.NewTextHandler(&lines, nil))
	for fp := range crash.Fingerprint(3) {
		c.StoreCrasher(fp+1, "GET /status", []record.InstanceCrash{{ID: "i@1", AtMS: 1000}})
	}
	logged := func() int { return strings.Count(lines.String(), "403 Forbidden") }
	now := time.Now()
	c.storePending(t.Context(), now)
	assert.Equal(t, logged(), 1)
	c.storePending(t.Context(), now.Add(storeFailureLogInterval-1))
	assert.Equal(t, logged(), 1, "not every failed write is logged")
	c.storePending(t.Context(), now.Add(storeFailureLogInterval))
	assert.Equal(t, logged(), 2)

	store.acceptWrites = true
	c.storePending(t.Context(), now.Add(storeFailureLogInterval+crasherStoreInterval))
	slices.Sort(store.written)
	assert.DeepEqual(t, store.written, []string{"0000000000000001", "0000000000000002", "0000000000000003"})
	c.storePending(t.Context(), now.Add(storeFailureLogInterval+2*crasherStoreInterval))
	assert.Equal(t, len(store.written), 3, "each record is written once")
}
