package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
)

// oneRecord is a platform that holds a host's record and counts the writes over it.
type oneRecord struct {
	awayStore
	stored []byte
	writes int
}

func (s *oneRecord) Put(_ context.Context, key record.Key, value []byte, ifVersion int64) (objects.Object, error) {
	current := objects.Object{Kind: key.Kind, Name: key.Name, Version: 7, Value: s.stored}
	if ifVersion != current.Version {
		return objects.Object{}, &objects.ConflictError{Current: current, IfVersion: ifVersion}
	}
	s.writes++
	s.stored = value
	return objects.Object{Kind: key.Kind, Name: key.Name, Version: 8, Value: value}, nil
}

// A fleet that lost its power wrote each host's record anew, 354 calls in the second
// in which it read everything. A record of the same place is left as it stands, unless
// it is so old that the host may have been held for gone.
func TestAHostThatStartsAgainSoonLeavesItsRecord(t *testing.T) {
	const began = 1_000_000_000
	hour := uint64(janitorPatience.Milliseconds())
	for _, c := range []struct {
		name   string
		stored record.Host
		writes int
	}{
		{"the same place, a minute before", record.Host{DC: "dc", Peer: "127.0.0.1:0", Incarnation: began - uint64(time.Minute.Milliseconds())}, 0},
		{"an earlier try of this start", record.Host{DC: "dc", Peer: "127.0.0.1:0", Incarnation: began}, 0},
		{"another address", record.Host{DC: "dc", Peer: "127.0.0.2:0", Incarnation: began - 1}, 1},
		{"a record that may be removed now", record.Host{DC: "dc", Peer: "127.0.0.1:0", Incarnation: began - hour}, 1},
		{"a clock that went back", record.Host{DC: "dc", Peer: "127.0.0.1:0", Incarnation: began + 1}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			key := record.Key{Kind: record.KindHost, Name: "a"}
			stored, err := record.Marshal(key, &c.stored)
			assert.NilError(t, err)
			store := &oneRecord{stored: stored}
			control := newOver(store, func(*directory.Directory) {})
			control.cfg.Incarnation = began
			assert.NilError(t, control.writeSelf(t.Context()))
			assert.Equal(t, store.writes, c.writes)
		})
	}
}
