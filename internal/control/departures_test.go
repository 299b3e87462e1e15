package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/announce"
	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
)

// lostResponseStore stores one Host record. The response to a write is lost, and another process of
// the host has written its record before it is read back.
type lostResponseStore struct {
	unavailableStore
	stored objects.Object
	writes int
}

func (s *lostResponseStore) Put(_ context.Context, key record.Key, _ []byte, ifVersion int64) (objects.Object, error) {
	if ifVersion != s.stored.Version {
		return objects.Object{}, &objects.ConflictError{Current: s.stored}
	}
	s.writes++
	earlier, err := record.Marshal(key, &record.Host{DC: "dc", Peer: "127.0.0.1:0", Incarnation: 1_000_000})
	if err != nil {
		return objects.Object{}, err
	}
	s.stored = objects.Object{Kind: key.Kind, Name: key.Name, Version: s.stored.Version + 1, Value: earlier}
	return objects.Object{}, &objects.UnavailableError{}
}

func (s *lostResponseStore) Get(context.Context, record.Key) (objects.Object, error) {
	return s.stored, nil
}

// A departure counts as stored only if the record that the platform has lists it: the record of an
// earlier attempt, which joining the fleet accepts, may not.
func TestDepartureIsNotStoredByRecordOfEarlierAttempt(t *testing.T) {
	key := record.Key{Kind: record.KindHost, Name: "a"}
	other, err := record.Marshal(key, &record.Host{DC: "dc", Peer: "127.0.0.9:0", Incarnation: 1})
	assert.NilError(t, err)
	store := &lostResponseStore{stored: objects.Object{Kind: key.Kind, Name: "a", Version: 3, Value: other}}
	control := newControlWithStore(store, func(*directory.Directory) {})
	control.cfg.Incarnation = 1_000_000
	control.departures.node.Record(time.Now(), announce.Departure{Instance: "i", Gone: true, At: time.Now()}, control.departurePeers())
	_, err = control.writeOwnRecord(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, store.writes, 1)
	assert.Assert(t, !control.departures.node.Stored("i"))
}
