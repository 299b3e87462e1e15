package keys

import (
	"context"
	"time"

	"github.com/radishhoist/radishhoist/internal/core/once"
	"github.com/radishhoist/radishhoist/internal/sleep"
	"github.com/radishhoist/radishhoist/record"
)

// A host grants leases only once it has read the shard maps from the platform, see
// once.LeaseGranter. It reads them when it is first asked for a lease: few hosts are guards of
// a shard, and a fleet whose callers send no idempotency keys has no shard maps at all.

// syncRetryInterval is the pause after a failed read of the shard maps.
const syncRetryInterval = 500 * time.Millisecond

// requestSync has syncLoop read the shard maps.
func (m *Manager) requestSync() {
	select {
	case m.syncRequested <- struct{}{}:
	default:
	}
}

// syncLoop reads the shard maps from the platform once that was requested, and ends when it
// has succeeded.
func (m *Manager) syncLoop(ctx context.Context) {
	select {
	case <-m.syncRequested:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		if m.readShardMaps(ctx) {
			return
		}
		sleep.For(ctx, syncRetryInterval)
	}
}

// readShardMaps reads the shard maps from the platform and then allows leases to be granted.
// It returns false if the platform did not respond.
func (m *Manager) readShardMaps(ctx context.Context) bool {
	page, err := m.store.List(ctx, record.KindShardMap)
	if err != nil {
		return false
	}
	m.mu.Lock()
	for _, obj := range page.Objects {
		r, err := record.Parse(obj.Value)
		if err != nil {
			continue // a map that no host can read has no owner that could ask for a lease
		}
		if sm, ok := r.Spec.(*record.ShardMap); ok {
			m.observeEpochs(obj.Name, sm)
		}
	}
	m.granter.MarkSynced()
	m.mu.Unlock()
	for _, obj := range page.Objects {
		m.hooks.DistributeMap(obj)
	}
	return true
}

// observeEpochs records the epochs of a service's shards. The caller must hold m.mu.
func (m *Manager) observeEpochs(service string, sm *record.ShardMap) {
	for i, s := range sm.Shards {
		m.granter.ObserveEpoch(once.ShardID{Service: service, Shard: uint32(i)}, s.Epoch)
	}
}
