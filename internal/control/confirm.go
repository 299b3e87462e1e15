package control

import (
	"math"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
)

// confirmations holds, for each feed, the time up to which the local records are known to
// be current: all writes acknowledged before that time have been applied. A host that does
// not watch the platform learns these times from the digests of other hosts, which have
// them from a watcher, directly or through further hosts.
type confirmations struct {
	feeds []objects.Feed
	// at is zero for a feed that has never been confirmed.
	at []time.Time
	// from is the host that reported each time, or platformSource.
	from []string
}

func newConfirmations(feeds []objects.Feed) *confirmations {
	return &confirmations{feeds: feeds, at: make([]time.Time, len(feeds)), from: make([]string, len(feeds))}
}

// confirm updates the time of a feed if at is later.
func (c *confirmations) confirm(feed objects.Feed, at time.Time, from string) {
	if i := slices.Index(c.feeds, feed); i >= 0 {
		c.confirmAt(i, at, from)
	}
}

// confirmAll updates the time of each feed if at is later.
func (c *confirmations) confirmAll(at time.Time, from string) {
	for i := range c.feeds {
		c.confirmAt(i, at, from)
	}
}

func (c *confirmations) confirmAt(i int, at time.Time, from string) {
	if at.After(c.at[i]) {
		c.at[i], c.from[i] = at, from
	}
}

// ages returns the ages of the confirmations in milliseconds. Hosts exchange ages instead
// of times because their clocks differ. The result is nil until every feed has been
// confirmed.
func (c *confirmations) ages(now time.Time) []uint32 {
	out := make([]uint32, 0, len(c.at))
	for _, at := range c.at {
		if at.IsZero() {
			return nil
		}
		out = append(out, uint32(min(now.Sub(at).Milliseconds(), math.MaxUint32)))
	}
	return out
}

// applyAges applies the ages reported by a host that has the same record set.
func (c *confirmations) applyAges(now time.Time, ages []uint32, from string) {
	if len(ages) != len(c.feeds) {
		return
	}
	for i, ms := range ages {
		c.confirmAt(i, now.Add(-time.Duration(ms)*time.Millisecond), from)
	}
}

// Confirmation is the age of the last confirmation of a feed.
type Confirmation struct {
	Feed string `json:"feed"`
	// AgeMS is -1 if the feed has never been confirmed.
	AgeMS int64 `json:"ageMS"`
	// From is the host that reported it, or "platform".
	From string `json:"from"`
}

func (c *confirmations) state(now time.Time) []Confirmation {
	out := make([]Confirmation, 0, len(c.feeds))
	for i, feed := range c.feeds {
		age := int64(-1)
		if !c.at[i].IsZero() {
			age = now.Sub(c.at[i]).Milliseconds()
		}
		out = append(out, Confirmation{Feed: string(feed), AgeMS: age, From: c.from[i]})
	}
	return out
}

// ConfirmedAge returns the age of the oldest confirmation. For a feed that has never been
// confirmed, it is the age of the process.
func (c *Control) ConfirmedAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := time.Now()
	for _, at := range c.confirmed.at {
		if at.IsZero() {
			at = c.started
		}
		if at.Before(oldest) {
			oldest = at
		}
	}
	return time.Since(oldest)
}

// addConfirmations adds this host's confirmations to a digest of its records. The caller
// holds the lock.
func (c *Control) addConfirmations(now time.Time, d *msg.Digest) {
	if d.Set == msg.SetRecords {
		d.AgesMS = c.confirmed.ages(now)
	}
}

// applyConfirmations applies the confirmations in a digest if the sender has the same
// records: if they are current there, they are current here. The caller holds the lock.
func (c *Control) applyConfirmations(from string, d *msg.Digest) {
	if d.Set == msg.SetRecords && d.Root == c.replica.Set(msg.SetRecords).Root() {
		c.confirmed.applyAges(time.Now(), d.AgesMS, from)
	}
}
