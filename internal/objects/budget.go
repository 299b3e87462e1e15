package objects

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/radishhoist/radishhoist/record"
)

// Budget bounds the calls that one process makes to the platform, whatever its
// parts do: the platform's rates grow more slowly than the fleet. A call over
// the budget waits; it is never dropped.
type Budget struct {
	store Store
	limit *rate.Limiter
	set   *metrics.Set
}

// The default budget of a process. A watcher makes at most five calls a second;
// a host that is no watcher makes a few at its start and then next to none.
const (
	CallsPerSecond = 8
	CallBurst      = 24
)

// NewBudget wraps a store with a budget of calls a second and a burst.
func NewBudget(store Store, perSecond float64, burst int) *Budget {
	return &Budget{store: store, limit: rate.NewLimiter(rate.Limit(perSecond), burst), set: metrics.NewSet()}
}

// Metrics gives the counts of calls for the admin endpoint.
func (b *Budget) Metrics() *metrics.Set { return b.set }

// count notes how a call ended: the platform's word, or none.
func (b *Budget) count(call string, err error) {
	outcome := "answered"
	var away *UnavailableError
	switch {
	case errors.As(err, &away) && away.Refused:
		outcome = "refused"
	case err != nil && errors.As(err, &away):
		outcome = "unanswered"
	}
	b.set.GetOrCreateCounter(`radishhoist_store_calls_total{call="` + call + `",outcome="` + outcome + `"}`).Inc()
}

// wait takes one call of the budget.
func (b *Budget) wait(ctx context.Context) error {
	if err := b.limit.Wait(ctx); err != nil {
		return &UnavailableError{Cause: err}
	}
	return nil
}

// Get implements Store.
func (b *Budget) Get(ctx context.Context, key record.Key) (Object, error) {
	if err := b.wait(ctx); err != nil {
		return Object{}, err
	}
	out, err := b.store.Get(ctx, key)
	b.count("get", err)
	return out, err
}

// List implements Store.
func (b *Budget) List(ctx context.Context, kinds ...record.Kind) (Page, error) {
	if err := b.wait(ctx); err != nil {
		return Page{}, err
	}
	out, err := b.store.List(ctx, kinds...)
	b.count("list", err)
	return out, err
}

// Put implements Store.
func (b *Budget) Put(ctx context.Context, key record.Key, value []byte, ifVersion int64) (Object, error) {
	if err := b.wait(ctx); err != nil {
		return Object{}, err
	}
	out, err := b.store.Put(ctx, key, value, ifVersion)
	b.count("put", err)
	return out, err
}

// Delete implements Store.
func (b *Budget) Delete(ctx context.Context, key record.Key, ifVersion int64) (Object, error) {
	if err := b.wait(ctx); err != nil {
		return Object{}, err
	}
	out, err := b.store.Delete(ctx, key, ifVersion)
	b.count("delete", err)
	return out, err
}

// Feeds implements Store.
func (b *Budget) Feeds() []Feed { return b.store.Feeds() }

// FeedOf implements Store.
func (b *Budget) FeedOf(kind record.Kind) Feed { return b.store.FeedOf(kind) }

// ListFeed implements Store.
func (b *Budget) ListFeed(ctx context.Context, feed Feed) (Page, error) {
	if err := b.wait(ctx); err != nil {
		return Page{}, err
	}
	out, err := b.store.ListFeed(ctx, feed)
	b.count("list", err)
	return out, err
}

// Watch implements Store.
func (b *Budget) Watch(ctx context.Context, feed Feed, after int64, patience int) (Page, error) {
	if err := b.wait(ctx); err != nil {
		return Page{}, err
	}
	out, err := b.store.Watch(ctx, feed, after, patience)
	b.count("watch", err)
	return out, err
}

// Observe implements Store. The further tries of late calls are counted on their way:
// they are not in the budget, but bounded by RetryInterval.
func (b *Budget) Observe(report func(LateCall)) {
	repeats := b.set.NewCounter("radishhoist_store_repeats_total")
	b.store.Observe(func(call LateCall) {
		if call.Ended {
			repeats.Add(call.Tries - 1)
		}
		report(call)
	})
}

// Close implements Store.
func (b *Budget) Close() { b.store.Close() }
