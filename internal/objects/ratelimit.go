package objects

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/radishhoist/radishhoist/record"
)

// RateLimitedStore is a Store that limits the total rate of calls of a process to the
// platform, because the platform's rate limits grow more slowly than the fleet. Calls over
// the limit wait; none are dropped.
type RateLimitedStore struct {
	store    Store
	limiter  *rate.Limiter
	counters *metrics.Set
}

// Default rate limit of a process, in calls. Because of the pause after each watch, a
// watcher makes at most about five calls per second and feed. A host that is not a watcher
// makes a few calls at startup and almost none later.
const (
	CallsPerSecond = 8
	CallBurst      = 24
)

// NewRateLimitedStore limits store to perSecond calls per second, with bursts of burst calls.
func NewRateLimitedStore(store Store, perSecond float64, burst int) *RateLimitedStore {
	return &RateLimitedStore{store: store, limiter: rate.NewLimiter(rate.Limit(perSecond), burst), counters: metrics.NewSet()}
}

// Metrics returns the call counters for the admin endpoint.
func (s *RateLimitedStore) Metrics() *metrics.Set { return s.counters }

// countCall counts a call by its outcome. "refused" means that the platform rejected the
// call without executing it, with status 429 or 503. "unanswered" means that no complete
// response was received, for example because the caller cancelled the call, or that the
// response was another server error. Every other outcome is "answered", including a
// conflict, an object that does not exist and a response that cannot be decoded.
func (s *RateLimitedStore) countCall(call string, err error) {
	outcome := "answered"
	var unavailable *UnavailableError
	switch {
	case errors.As(err, &unavailable) && unavailable.Refused:
		outcome = "refused"
	case err != nil && errors.As(err, &unavailable):
		outcome = "unanswered"
	}
	s.counters.GetOrCreateCounter(`radishhoist_store_calls_total{call="` + call + `",outcome="` + outcome + `"}`).Inc()
}

// wait blocks until the limiter admits one call.
func (s *RateLimitedStore) wait(ctx context.Context) error {
	if err := s.limiter.Wait(ctx); err != nil {
		return &UnavailableError{Cause: err}
	}
	return nil
}

// Get implements Store.
func (s *RateLimitedStore) Get(ctx context.Context, key record.Key) (Object, error) {
	if err := s.wait(ctx); err != nil {
		return Object{}, err
	}
	out, err := s.store.Get(ctx, key)
	s.countCall("get", err)
	return out, err
}

// List implements Store.
func (s *RateLimitedStore) List(ctx context.Context, kinds ...record.Kind) (Page, error) {
	if err := s.wait(ctx); err != nil {
		return Page{}, err
	}
	out, err := s.store.List(ctx, kinds...)
	s.countCall("list", err)
	return out, err
}

// Put implements Store.
func (s *RateLimitedStore) Put(ctx context.Context, key record.Key, value []byte, ifVersion int64) (Object, error) {
	if err := s.wait(ctx); err != nil {
		return Object{}, err
	}
	out, err := s.store.Put(ctx, key, value, ifVersion)
	s.countCall("put", err)
	return out, err
}

// Delete implements Store.
func (s *RateLimitedStore) Delete(ctx context.Context, key record.Key, ifVersion int64) (Object, error) {
	if err := s.wait(ctx); err != nil {
		return Object{}, err
	}
	out, err := s.store.Delete(ctx, key, ifVersion)
	s.countCall("delete", err)
	return out, err
}

// Feeds implements Store.
func (s *RateLimitedStore) Feeds() []Feed { return s.store.Feeds() }

// FeedOf implements Store.
func (s *RateLimitedStore) FeedOf(kind record.Kind) Feed { return s.store.FeedOf(kind) }

// ListFeed implements Store.
func (s *RateLimitedStore) ListFeed(ctx context.Context, feed Feed) (Page, error) {
	if err := s.wait(ctx); err != nil {
		return Page{}, err
	}
	out, err := s.store.ListFeed(ctx, feed)
	s.countCall("list", err)
	return out, err
}

// ListCached implements Store.
func (s *RateLimitedStore) ListCached(ctx context.Context, feed Feed) (Page, error) {
	if err := s.wait(ctx); err != nil {
		return Page{}, err
	}
	out, err := s.store.ListCached(ctx, feed)
	s.countCall("list-cached", err)
	return out, err
}

// Watch implements Store.
func (s *RateLimitedStore) Watch(ctx context.Context, feed Feed, after int64, waitFactor int) (Page, error) {
	if err := s.wait(ctx); err != nil {
		return Page{}, err
	}
	out, err := s.store.Watch(ctx, feed, after, waitFactor)
	s.countCall("watch", err)
	return out, err
}

// Observe implements Store. It also counts the retries of late calls. Retries are not
// subject to the rate limit, but RetryInterval limits their rate.
func (s *RateLimitedStore) Observe(report func(CallReport)) {
	retries := s.counters.NewCounter("radishhoist_store_repeats_total")
	s.store.Observe(func(call CallReport) {
		if call.Ended {
			retries.Add(call.Attempts - 1)
		}
		report(call)
	})
}

// Close implements Store.
func (s *RateLimitedStore) Close() { s.store.Close() }
