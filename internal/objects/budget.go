package objects

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/radishhoist/radishhoist/record"
)

// RateLimitedStore is a Store that limits the rate of calls that all components of a process
// together make to the platform, whose rate limits grow more slowly than the fleet.
// Calls over the limit wait; they are never dropped.
type RateLimitedStore struct {
	store   Store
	limiter *rate.Limiter
	set     *metrics.Set
}

// Default rate limit of a process. The pause after each watch limits a watcher to about
// five calls per second and feed. A host that is not a watcher makes a few calls at startup
// and almost none later.
const (
	CallsPerSecond = 8
	CallBurst      = 24
)

// NewRateLimitedStore limits store to perSecond calls per second, with bursts of burst calls.
func NewRateLimitedStore(store Store, perSecond float64, burst int) *RateLimitedStore {
	return &RateLimitedStore{store: store, limiter: rate.NewLimiter(rate.Limit(perSecond), burst), set: metrics.NewSet()}
}

// Metrics returns the call counters for the admin endpoint.
func (b *RateLimitedStore) Metrics() *metrics.Set { return b.set }

// countCall counts a call by its outcome. Refused means that the platform rejected the
// call without executing it, with status 429 or 503. Unanswered means that no complete
// response was received, also because the caller cancelled the call, or that the platform
// answered with another server error. Every other outcome counts as answered, including
// a conflict, an object that does not exist and a response that cannot be decoded.
func (b *RateLimitedStore) countCall(call string, err error) {
	outcome := "answered"
	var unavailable *UnavailableError
	switch {
	case errors.As(err, &unavailable) && unavailable.Refused:
		outcome = "refused"
	case err != nil && errors.As(err, &unavailable):
		outcome = "unanswered"
	}
	b.set.GetOrCreateCounter(`radishhoist_store_calls_total{call="` + call + `",outcome="` + outcome + `"}`).Inc()
}

// wait blocks until the limiter admits one call.
func (b *RateLimitedStore) wait(ctx context.Context) error {
	if err := b.limiter.Wait(ctx); err != nil {
		return &UnavailableError{Cause: err}
	}
	return nil
}

// Get implements Store.
func (b *RateLimitedStore) Get(ctx context.Context, key record.Key) (Object, error) {
	if err := b.wait(ctx); err != nil {
		return Object{}, err
	}
	out, err := b.store.Get(ctx, key)
	b.countCall("get", err)
	return out, err
}

// List implements Store.
func (b *RateLimitedStore) List(ctx context.Context, kinds ...record.Kind) (Page, error) {
	if err := b.wait(ctx); err != nil {
		return Page{}, err
	}
	out, err := b.store.List(ctx, kinds...)
	b.countCall("list", err)
	return out, err
}

// Put implements Store.
func (b *RateLimitedStore) Put(ctx context.Context, key record.Key, value []byte, ifVersion int64) (Object, error) {
	if err := b.wait(ctx); err != nil {
		return Object{}, err
	}
	out, err := b.store.Put(ctx, key, value, ifVersion)
	b.countCall("put", err)
	return out, err
}

// Delete implements Store.
func (b *RateLimitedStore) Delete(ctx context.Context, key record.Key, ifVersion int64) (Object, error) {
	if err := b.wait(ctx); err != nil {
		return Object{}, err
	}
	out, err := b.store.Delete(ctx, key, ifVersion)
	b.countCall("delete", err)
	return out, err
}

// Feeds implements Store.
func (b *RateLimitedStore) Feeds() []Feed { return b.store.Feeds() }

// FeedOf implements Store.
func (b *RateLimitedStore) FeedOf(kind record.Kind) Feed { return b.store.FeedOf(kind) }

// ListFeed implements Store.
func (b *RateLimitedStore) ListFeed(ctx context.Context, feed Feed) (Page, error) {
	if err := b.wait(ctx); err != nil {
		return Page{}, err
	}
	out, err := b.store.ListFeed(ctx, feed)
	b.countCall("list", err)
	return out, err
}

// Watch implements Store.
func (b *RateLimitedStore) Watch(ctx context.Context, feed Feed, after int64, waitFactor int) (Page, error) {
	if err := b.wait(ctx); err != nil {
		return Page{}, err
	}
	out, err := b.store.Watch(ctx, feed, after, waitFactor)
	b.countCall("watch", err)
	return out, err
}

// Observe implements Store. It also counts the retries of late calls, which bypass the
// rate limit but are bounded by RetryInterval.
func (b *RateLimitedStore) Observe(report func(LateCall)) {
	retries := b.set.NewCounter("radishhoist_store_repeats_total")
	b.store.Observe(func(call LateCall) {
		if call.Ended {
			retries.Add(call.Attempts - 1)
		}
		report(call)
	})
}

// Close implements Store.
func (b *RateLimitedStore) Close() { b.store.Close() }
