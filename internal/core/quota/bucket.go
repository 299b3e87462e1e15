package quota

import "time"

// bucket is a leaky bucket: a count of requests that drains at a constant rate.
type bucket struct {
	level float64
	at    time.Time
}

// levelAt drains the bucket at perSecond until time t and returns its level.
func (b *bucket) levelAt(t time.Time, perSecond float64) float64 {
	if d := t.Sub(b.at); d > 0 {
		b.level = max(b.level-d.Seconds()*perSecond, 0)
		b.at = t
	}
	return b.level
}

// set replaces the level; negative levels become 0.
func (b *bucket) set(t time.Time, level float64) { b.level, b.at = max(level, 0), t }

// add drains the bucket, then adds n; the level does not fall below 0.
func (b *bucket) add(t time.Time, perSecond, n float64) {
	b.set(t, b.levelAt(t, perSecond)+n)
}

// raise drains the bucket, then raises it to at least level.
func (b *bucket) raise(t time.Time, perSecond, level float64) {
	b.set(t, max(b.levelAt(t, perSecond), level))
}
