package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/msg"
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
			_, err = control.writeOwnRecord(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, store.writes, c.writes)
		})
	}
}

// startingStore is a platform with the Host records of a fleet. It counts calls by kind.
type startingStore struct {
	unavailableStore
	hosts []objects.Object
	calls map[string]int
}

func newStartingStore(t *testing.T, hosts ...string) *startingStore {
	t.Helper()
	s := &startingStore{calls: map[string]int{}}
	for _, name := range hosts {
		key := record.Key{Kind: record.KindHost, Name: name}
		value, err := record.Marshal(key, &record.Host{DC: "dc", Peer: "127.0.0.1:0", Incarnation: 1})
		assert.NilError(t, err)
		s.hosts = append(s.hosts, objects.Object{Kind: key.Kind, Name: name, Version: 1, Value: value})
	}
	return s
}

func (s *startingStore) ListCached(context.Context, objects.Feed) (objects.Page, error) {
	s.calls["cached list"]++
	return objects.Page{Revision: 1, Objects: s.hosts, Cached: true}, nil
}

func (s *startingStore) List(context.Context, ...record.Kind) (objects.Page, error) {
	s.calls["list"]++
	return objects.Page{Revision: 1, Objects: s.hosts}, nil
}

func (s *startingStore) Put(_ context.Context, key record.Key, value []byte, _ int64) (objects.Object, error) {
	s.calls["put"]++
	for _, o := range s.hosts {
		if o.Key() == key {
			return objects.Object{}, &objects.ConflictError{Current: o}
		}
	}
	return objects.Object{Kind: key.Kind, Name: key.Name, Version: 2, Value: value}, nil
}

// The calls to the platform for the start of a host must not grow with the fleet, and a start
// in a fleet that serves must cost next to none: when each host listed everything and wrote
// its record, a start of 984 hosts took 7,000 calls. A host that has served before must be
// ready again at once, also when all hosts restart: callers are waiting. It must not read
// a list of all hosts twice: 984 such lists of 250 KB fill the platform's link for seconds.
func TestStartTakesFewPlatformCalls(t *testing.T) {
	// "a" is the starting host; another one of the listed hosts comes before it by the hashes
	// of their names.
	for _, c := range []struct {
		name   string
		listed []string
		// peerAgeMS is the age that a peer reports for its records after 300 ms, -1 if none
		// does.
		peerAgeMS int
		// limit is the time within which the host must have the records.
		limit time.Duration
		want  map[string]int
	}{
		{"restart", []string{"a", "b", "c", "d"}, 100, 0, map[string]int{"put": 1, "list": 1}},
		{"new host in a fleet that serves", []string{"b", "c", "d"}, 100, time.Second, map[string]int{"cached list": 1, "put": 1}},
		{"new host, peers are cut off from the platform", []string{"b", "c", "d"}, 60_000, peerRecordsTimeout * 3 / 2, map[string]int{"cached list": 1, "put": 1, "list": 1}},
		{"new host, peers have no records", []string{"b", "c", "d"}, -1, peerRecordsTimeout * 3 / 2, map[string]int{"cached list": 1, "put": 1, "list": 1}},
		{"first host of a new fleet", nil, -1, 3 * time.Second, map[string]int{"cached list": lonelyListings, "put": 1, "list": 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStartingStore(t, c.listed...)
				control := newControlWithStore(store, func(*directory.Directory) {})
				if c.peerAgeMS >= 0 {
					time.AfterFunc(300*time.Millisecond, func() {
						root := control.replica.Set(msg.SetRecords).Root()
						digest := &msg.Digest{Set: msg.SetRecords, Root: root, Complete: true, AgesMS: []uint32{uint32(c.peerAgeMS)}}
						control.HandleControl(&msg.Hello{Host: "b"}, digest)
					})
				}
				began := time.Now()
				_, err := control.join(t.Context())
				assert.NilError(t, err)
				assert.DeepEqual(t, store.calls, c.want)
				assert.Assert(t, control.replica.Complete())
				assert.Assert(t, time.Since(began) <= c.limit, "took %s", time.Since(began))
			})
		})
	}
}
