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

// What a peer sends as an end or a clearing is read or refused, whatever its bytes, and
// what is read names an end.
func FuzzEnds(f *testing.F) {
	m := msg.InstanceCrash{Service: "desk", SoftwareVersion: "1", DetectedAtMS: 1, Fingerprints: []uint64{7}}
	whole, err := m.MarshalMsg(nil)
	assert.NilError(f, err)
	f.Add(endKind, "i@1", whole)
	f.Add(endKind, "", whole[:len(whole)/2])
	f.Add(clearedKind, "i@1/0000000000000007", []byte(nil))
	f.Add(clearedKind, "/", []byte{0xc1})
	f.Add(clearedKind, "no print", []byte(nil))
	f.Add("other", "x", []byte(nil))
	f.Fuzz(func(t *testing.T, kind, name string, value []byte) {
		book := crash.NewTracker()
		now := time.Now()
		c := newOver(awayStore{}, func(*directory.Directory) {})
		c.hooks.Crashed = func(e crash.Crash) {
			assert.Equal(t, e.ID, name)
			book.Add(now, e)
		}
		c.hooks.Cleared = func(end string, p crash.Fingerprint) {
			assert.Equal(t, end+printStart, name[:len(end)+1])
			book.Clear(now, end, p)
		}
		c.applyEnd(now, msg.Entry{Kind: kind, Name: name, Version: now.UnixMilli(), Value: value})
		for _, v := range book.Assess(now) {
			assert.Assert(t, !v.BlockedEverywhere(now), "one end stops nothing")
		}
	})
}

// refusingStore is a platform that refuses all writes until it is told to take them.
type refusingStore struct {
	awayStore
	takes   bool
	written []string
}

func (s *refusingStore) Put(_ context.Context, key record.Key, value []byte, _ int64) (objects.Object, error) {
	if !s.takes {
		return objects.Object{}, &objects.UnavailableError{Cause: errors.New("403 Forbidden"), Refused: true}
	}
	s.written = append(s.written, key.Name)
	return objects.Object{Kind: key.Kind, Name: key.Name, Version: 1, Value: value}, nil
}

// What users would see: after a loss of all processes a stopped request ends instances
// again, and nothing had said that it would.
//
// Order of events: the platform refuses the record of the stopped request, again and again.
//
// Cause: the refusal was taken for a platform that is away, and no line told of it.
//
// Evidence: reading; the store of this test refuses, and no line came.
func TestARecordThatThePlatformRefusesIsTold(t *testing.T) {
	store := &refusingStore{}
	var lines logtest.Buffer
	c := newOver(store, func(*directory.Directory) {})
	c.log = slog.New(slog.NewTextHandler(&lines, nil))
	for p := range crash.Fingerprint(3) {
		c.StoreCrasher(p+1, "GET /status", []record.InstanceCrash{{ID: "i@1", AtMS: 1000}})
	}
	told := func() int { return strings.Count(lines.String(), "403 Forbidden") }
	now := time.Now()
	c.keepAll(t.Context(), now)
	assert.Equal(t, told(), 1)
	c.keepAll(t.Context(), now.Add(unkeptLines-1))
	assert.Equal(t, told(), 1, "no line for each try")
	c.keepAll(t.Context(), now.Add(unkeptLines))
	assert.Equal(t, told(), 2)

	store.takes = true
	c.keepAll(t.Context(), now.Add(unkeptLines+keepInterval))
	slices.Sort(store.written)
	assert.DeepEqual(t, store.written, []string{"0000000000000001", "0000000000000002", "0000000000000003"})
	c.keepAll(t.Context(), now.Add(unkeptLines+2*keepInterval))
	assert.Equal(t, len(store.written), 3, "each is written once")
}
