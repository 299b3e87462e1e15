// Package objects is a typed client for the platform's object API, which has get, list,
// conditional update, conditional delete and watch.
package objects

import (
	"context"
	"fmt"

	"github.com/radishhoist/radishhoist/record"
)

// Object is one stored object.
type Object struct {
	Kind    record.Kind `json:"kind"`
	Name    string      `json:"name"`
	Version int64       `json:"version"`
	// Deleted marks a watch event for the deletion of the object.
	Deleted bool `json:"deleted,omitempty"`
	// Value is the object's JSON, empty if Deleted is set.
	Value []byte `json:"value,omitempty"`
}

func (o Object) Key() record.Key { return record.Key{Kind: o.Kind, Name: o.Name} }

// Page is the result of a list or a watch: the objects, and the revision up to which they
// are current. The version of an object is the revision of its last change, see VersionAt.
// Revisions increase across all objects.
type Page struct {
	Revision int64    `json:"revision"`
	Objects  []Object `json:"objects"`
	// Undecodable has one error for each object that could not be parsed, such as those
	// of another writer. Objects has the others.
	Undecodable []error `json:"-"`
	// Cached reports that the page may be seconds old.
	Cached bool `json:"-"`
	// History is the number of times that the platform has been restored from an earlier
	// state, 0 if it does not count them.
	History int64 `json:"-"`
}

// Store is the interface to the platform. Client implements it over HTTP.
type Store interface {
	// Get reads one object. It returns *NotFoundError if there is none.
	Get(ctx context.Context, key record.Key) (Object, error)
	// List reads all objects of the given kinds, or of every kind if none is given.
	// A platform adapter may include the configuration only in a list without kinds.
	List(ctx context.Context, kinds ...record.Kind) (Page, error)
	// Put writes the object if the stored version equals ifVersion; 0 means that
	// the object must not exist. Otherwise it returns *ConflictError with the
	// stored object.
	Put(ctx context.Context, key record.Key, value []byte, ifVersion int64) (Object, error)
	// Delete deletes the object if the stored version equals ifVersion.
	Delete(ctx context.Context, key record.Key, ifVersion int64) (Object, error)
	// Feeds returns the feeds, which together cover all changes. Each feed is listed and
	// watched separately.
	Feeds() []Feed
	// FeedOf returns the feed that covers records of a kind.
	FeedOf(kind record.Kind) Feed
	// ListFeed reads all objects of a feed.
	ListFeed(ctx context.Context, feed Feed) (Page, error)
	// ListCached reads all objects of a feed at a fraction of the cost of ListFeed for the
	// platform. The result may be seconds old; Page.Cached reports whether it may.
	ListCached(ctx context.Context, feed Feed) (Page, error)
	// Watch waits for changes in a feed after a revision. It asks the platform to
	// hold the call for waitFactor times the configured wait; NoWait asks for a response at
	// once. An empty page means that the wait ended without a change. After
	// *CompactedError, the caller must list again.
	Watch(ctx context.Context, feed Feed, after int64, waitFactor int) (Page, error)
	// Observe sets the callback for calls that are late or fail. It must be called
	// before the first call, and the callback must not block.
	Observe(report func(CallReport))
	// Close closes idle connections.
	Close()
}

// NoWait is the wait factor of a watch that does not wait for changes.
const NoWait = 0

// Feed identifies a stream of changes to objects of certain kinds.
type Feed string

// NotFoundError is returned if the object does not exist.
type NotFoundError struct{ Key record.Key }

// Error implements error.
func (e *NotFoundError) Error() string { return e.Key.String() + " does not exist" }

// ConflictError is returned if the stored version is not the expected one.
type ConflictError struct {
	// Current is the stored object; its Version is 0 if there is none.
	Current   Object
	IfVersion int64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed by another writer: stored version is %d, expected %d; read it again before writing",
		e.Current.Key(), e.Current.Version, e.IfVersion)
}

// CompactedError is returned if the platform no longer has the events after the
// requested revision.
type CompactedError struct{ After int64 }

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("watch after revision %d: events have been compacted; list again", e.After)
}

// UnavailableError is returned if the platform did not respond or could not serve the
// call. A write may have taken effect unless Refused is set.
type UnavailableError struct {
	Cause error
	// Refused means that the platform rejected the call without executing it.
	Refused bool
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "platform unavailable: " + e.Cause.Error()
}

// Unwrap returns Cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }
