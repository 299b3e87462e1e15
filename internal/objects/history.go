package objects

import (
	"context"
	"math"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/record"
)

// A platform that is restored from an earlier state has lost its latest writes, and gives the
// revisions after that state out again. It counts the restorations in its responses. The count
// is called the history. Versions combine it with the revision, so that they increase across
// restorations and never stand for two states.

// revisionsPerHistory exceeds every revision. As a power of ten it keeps both parts readable
// in logs.
const revisionsPerHistory = 1_000_000_000_000

// maxHistory is the greatest history of which all versions fit into an int64.
const maxHistory = math.MaxInt64/revisionsPerHistory - 1

// VersionAt returns the version of a revision in a history. Without restorations it equals
// the revision.
func VersionAt(history, revision int64) int64 { return history*revisionsPerHistory + revision }

// HistoryOf returns the history of a version.
func HistoryOf(version int64) int64 { return version / revisionsPerHistory }

// RevisionOf returns the revision of a version.
func RevisionOf(version int64) int64 { return version % revisionsPerHistory }

// ErrReadOnly is returned for a write to an object that only others may write.
var ErrReadOnly = errors.New("the object is read-only for the product")

// errRestoredMeanwhile is the cause of an UnavailableError for a list whose pages are from
// different histories.
var errRestoredMeanwhile = errors.New("the platform was restored from an earlier state during the list")

// CheckHistory returns an error if a further part of a list is from another history than the
// parts before.
func (p *Page) CheckHistory(history int64) error {
	if p.History != history {
		return &UnavailableError{Cause: errRestoredMeanwhile}
	}
	return nil
}

// OutdatedConflict returns the error for a write with an outdated condition: a *ConflictError
// with the stored object, if that can be read.
func OutdatedConflict(ctx context.Context, s Store, key record.Key, ifVersion int64) error {
	current, err := s.Get(ctx, key)
	var missing *NotFoundError
	switch {
	case errors.As(err, &missing):
		current = Object{Kind: key.Kind, Name: key.Name}
	case err != nil:
		return err
	}
	return &ConflictError{Current: current, IfVersion: ifVersion}
}

// history returns the number of restorations that a response names, 0 if it names none.
func (t *Transport) history(h http.Header) int64 {
	if t.HistoryHeader == "" {
		return 0
	}
	n, err := strconv.ParseInt(h.Get(t.HistoryHeader), 10, 64)
	if err != nil || n < 0 {
		return 0
	}
	return min(n, maxHistory)
}

// observeHistory records the history of a response.
func (t *Transport) observeHistory(history int64) {
	for latest := t.latestHistory.Load(); history > latest; latest = t.latestHistory.Load() {
		if t.latestHistory.CompareAndSwap(latest, history) {
			return
		}
	}
}

// IsOutdated reports whether a version is from before the last restoration known. The revision
// of such a version may have been given out again, so that it is no condition for a write.
func (t *Transport) IsOutdated(version int64) bool {
	return version != 0 && HistoryOf(version) < t.latestHistory.Load()
}
