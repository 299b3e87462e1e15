package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/radishhoist/radishhoist/internal/core/directory"
	"github.com/radishhoist/radishhoist/internal/objects"
	"github.com/radishhoist/radishhoist/record"
)

// compactingStore discards its history during the first watch of feed a, including a change
// that this watch does not return.
type compactingStore struct {
	objects.Store
	mu          sync.Mutex
	revision    int64
	lists       []time.Time
	compactedAt time.Time
}

func (s *compactingStore) Feeds() []objects.Feed { return []objects.Feed{"a", "b"} }

func (s *compactingStore) FeedOf(record.Kind) objects.Feed { return "a" }

func (s *compactingStore) ListFeed(ctx context.Context, _ objects.Feed) (objects.Page, error) {
	return s.List(ctx)
}

func (s *compactingStore) ListCached(context.Context, objects.Feed) (objects.Page, error) {
	return objects.Page{}, nil
}

func (s *compactingStore) Put(_ context.Context, key record.Key, value []byte, _ int64) (objects.Object, error) {
	return objects.Object{Kind: key.Kind, Name: key.Name, Version: 1, Value: value}, nil
}

func (s *compactingStore) List(context.Context, ...record.Kind) (objects.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, time.Now())
	s.revision++
	return objects.Page{Revision: s.revision}, nil
}

func (s *compactingStore) Watch(ctx context.Context, feed objects.Feed, after int64, _ int) (objects.Page, error) {
	s.mu.Lock()
	first := s.compactedAt.IsZero() && feed == "a"
	s.mu.Unlock()
	if !first {
		<-ctx.Done()
		return objects.Page{}, &objects.UnavailableError{Cause: ctx.Err()}
	}
	time.Sleep(time.Second)
	s.mu.Lock()
	s.compactedAt = time.Now()
	s.mu.Unlock()
	return objects.Page{}, &objects.CompactedError{After: after}
}

// Changes that were made before the history was discarded are only applied with the next
// list. The list must follow immediately, without the pause after a failed call.
func TestCompactionIsFollowedByImmediateList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &compactingStore{}
		c := newControlWithStore(store, func(*directory.Directory) {})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.watch(ctx)
		}()
		time.Sleep(1500 * time.Millisecond)
		cancel()
		<-done
		assert.Equal(t, len(store.lists), 2, "one to join, one after compaction")
		assert.Equal(t, store.lists[1], store.compactedAt)
	})
}
