package control

import (
	"math"
	"slices"
	"time"

	"github.com/radishhoist/radishhoist/internal/msg"
	"github.com/radishhoist/radishhoist/internal/objects"
)

// confirmations say, for each feed of the platform, since when what is in force
// here is known to be current: everything acknowledged before that moment is in
// force. A host that does not watch learns it from the digests of those that do, and
// from others that have learned it.
type confirmations struct {
	feeds []objects.Feed
	// at has the zero time for a feed that was never confirmed.
	at   []time.Time
	from []string
}

func newConfirmations(feeds []objects.Feed) *confirmations {
	return &confirmations{feeds: feeds, at: make([]time.Time, len(feeds)), from: make([]string, len(feeds))}
}

// note takes a confirmation where it is newer than the one known. from is the host
// that told it, or fromPlatform.
func (c *confirmations) note(feed objects.Feed, at time.Time, from string) {
	if i := slices.Index(c.feeds, feed); i >= 0 {
		c.noteAt(i, at, from)
	}
}

// noteAll takes a confirmation of every feed.
func (c *confirmations) noteAll(at time.Time, from string) {
	for i := range c.feeds {
		c.noteAt(i, at, from)
	}
}

func (c *confirmations) noteAt(i int, at time.Time, from string) {
	if at.After(c.at[i]) {
		c.at[i], c.from[i] = at, from
	}
}

// ages tells the confirmations to another host, in milliseconds: durations, because
// hosts' clocks differ. It is nil while a feed was never confirmed.
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

// hear takes the ages that a host with the same set has told.
func (c *confirmations) hear(now time.Time, ages []uint32, from string) {
	if len(ages) != len(c.feeds) {
		return
	}
	for i, ms := range ages {
		c.noteAt(i, now.Add(-time.Duration(ms)*time.Millisecond), from)
	}
}

// Confirmation says since when one feed of the platform is known to be in force.
type Confirmation struct {
	Feed string `json:"feed"`
	// AgeMS is -1 where it was never confirmed.
	AgeMS int64 `json:"ageMS"`
	// From is the host that told it, or "platform".
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

// ConfirmedAge is the age of the oldest confirmation; before the first one, that of
// the process.
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

// tellAges puts this host's confirmations into a digest of its records. The caller
// holds the lock.
func (c *Control) tellAges(now time.Time, d *msg.Digest) {
	if d.Set == msg.SetRecords {
		d.AgesMS = c.confirmed.ages(now)
	}
}

// hearAges takes the confirmations of a host that has the same records: what is
// current there is so here. The caller holds the lock.
func (c *Control) hearAges(from string, d *msg.Digest) {
	if d.Set == msg.SetRecords && d.Root == c.replica.Set(msg.SetRecords).Root() {
		c.confirmed.hear(time.Now(), d.AgesMS, from)
	}
}
