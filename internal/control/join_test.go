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

// singleRecordStore is a platform that stores one Host record and counts how often it is
// overwritten.
type singleRecordStore struct {
	unavailableStore
	stored []byte
	writes int
}

func (s *singleRecordStore) Put(_ context.Context, key record.Key, value []byte, ifVersion int64) (objects.Object, error) {
	current := objects.Object{Kind: key.Kind, Name: key.Name, Version: 7, Value: s.stored}
	if ifVersion != current.Version {
		return objects.Object{}, &objects.ConflictError{Current: current, IfVersion: ifVersion}
	}
	s.writes++
	s.stored = value
	return objects.Object{Kind: key.Kind, Name: key.Name, Version: 8, Value: value}, nil
}

// Guards against unnecessary calls when a whole fleet restarts after a power failure. Every
// host wrote its record again: 354 calls in the same second in which the hosts read all
// records. A record with the same address must be kept unless it is so old that another host
// may be about to remove it.
func TestRestartedHostKeepsRecentRecord(t *testing.T) {
	const startedMS = 1_000_000_000
	retentionMS := uint64(unknownHostRetention.Milliseconds())
	for _, c := range []struct {
		name   string
		stored record.Host
		writes int
	}{
		{"same address, a minute earlier", record.Host{DC: "dc", Peer: "127.0.0.1:0", Incarnation: startedMS - uint64(time.Minute.Milliseconds())}, 0},
		{"earlier attempt of the same process", record.Host{DC: "dc", Peer: "127.0.0.1:0", Incarnation: startedMS}, 0},
		{"different address", record.Host{DC: "dc", Peer: "127.0.0.2:0", Incarnation: startedMS - 1}, 1},
		{"record old enough to be removed", record.Host{DC: "dc", Peer: "127.0.0.1:0", Incarnation: startedMS - retentionMS}, 1},
		{"clock set back", record.Host{DC: "dc", Peer: "127.0.0.1:0", Incarnation: startedMS + 1}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			key := record.Key{Kind: record.KindHost, Name: "a"}
			stored, err := record.Marshal(key, &c.stored)
			assert.NilError(t, err)
			store := &singleRecordStore{stored: stored}
			control := newControlWithStore(store, func(*directory.Directory) {})
			control.cfg.Incarnation = startedMS
			assert.NilError(t, control.writeOwnRecord(t.Context()))
			assert.Equal(t, store.writes, c.writes)
		})
	}
}
