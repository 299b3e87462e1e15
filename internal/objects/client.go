package objects

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/dghubble/sling"

	"github.com/radishhoist/radishhoist/record"
)

// Client is a Store for platforms with Radishhoist's own HTTP API. It is safe for
// concurrent use.
type Client struct {
	*Transport
}

// NewClient returns a client for the object API at base, such as
// "http://127.0.0.1:7000"; see NewTransport for watchWait.
func NewClient(base string, watchWait time.Duration) *Client {
	t := NewTransport(base, watchWait)
	t.HistoryHeader = HistoryHeader
	return &Client{Transport: t}
}

// HistoryHeader is the header in the responses of Radishhoist's own object API with the
// number of times that the platform has been restored from an earlier state.
const HistoryHeader = "Radishhoist-History"

func objectPath(key record.Key) string {
	return "/v1/objects/" + url.PathEscape(string(key.Kind)) + "/" + url.PathEscape(key.Name)
}

// listQuery restricts a list to the given kinds.
type listQuery struct {
	Kinds []string `url:"kind,omitempty"`
}

// versionQuery makes a write conditional on the stored version.
type versionQuery struct {
	IfVersion int64 `url:"ifVersion"`
}

// watchQuery requests events after a revision and the time to wait for them.
type watchQuery struct {
	After  int64 `url:"after"`
	WaitMS int64 `url:"waitMS"`
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key record.Key) (Object, error) {
	resp, err := c.Call(ctx, 0, c.Request().Get(objectPath(key)))
	if err != nil {
		return Object{}, err
	}
	if resp.Status == http.StatusNotFound {
		return Object{}, &NotFoundError{Key: key}
	}
	return c.decodeObject(resp)
}

// decodeObject decodes a response that holds a single object.
func (c *Client) decodeObject(resp Response) (Object, error) {
	var obj Object
	err := resp.Decode(&obj)
	obj.setHistory(resp.History)
	return obj, err
}

// decodePage decodes the response to a list or watch.
func (c *Client) decodePage(resp Response) (Page, error) {
	page := Page{History: resp.History}
	if err := resp.Decode(&page); err != nil {
		return page, err
	}
	page.Revision = VersionAt(resp.History, page.Revision)
	for i := range page.Objects {
		page.Objects[i].setHistory(resp.History)
	}
	return page, nil
}

// setHistory replaces the revision in Version by the version. An object that does not exist
// has version 0.
func (o *Object) setHistory(history int64) {
	if o.Version != 0 {
		o.Version = VersionAt(history, o.Version)
	}
}

// List implements Store.
func (c *Client) List(ctx context.Context, kinds ...record.Kind) (Page, error) {
	query := listQuery{}
	for _, k := range kinds {
		query.Kinds = append(query.Kinds, string(k))
	}
	resp, err := c.Call(ctx, 0, c.Request().Get("/v1/objects").QueryStruct(query))
	if err != nil {
		return Page{}, err
	}
	return c.decodePage(resp)
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key record.Key, value []byte, ifVersion int64) (Object, error) {
	return c.write(ctx, key, ifVersion, func(condition versionQuery) *sling.Sling {
		return c.Request().Put(objectPath(key)).QueryStruct(condition).Body(bytesReader(value))
	})
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key record.Key, ifVersion int64) (Object, error) {
	return c.write(ctx, key, ifVersion, func(condition versionQuery) *sling.Sling {
		return c.Request().Delete(objectPath(key)).QueryStruct(condition)
	})
}

func (c *Client) write(ctx context.Context, key record.Key, ifVersion int64, request func(versionQuery) *sling.Sling) (Object, error) {
	if c.IsOutdated(ifVersion) {
		return Object{}, OutdatedConflict(ctx, c, key, ifVersion)
	}
	resp, err := c.Call(ctx, 0, request(versionQuery{RevisionOf(ifVersion)}))
	if err != nil {
		return Object{}, err
	}
	if resp.Status == http.StatusConflict {
		var current Object
		if err := resp.DecodeBody(&current); err != nil {
			return Object{}, err
		}
		current.setHistory(resp.History)
		return Object{}, &ConflictError{Current: current, IfVersion: ifVersion}
	}
	return c.decodeObject(resp)
}

// Feeds implements Store. A single feed covers all kinds.
func (c *Client) Feeds() []Feed { return []Feed{""} }

// FeedOf implements Store.
func (c *Client) FeedOf(record.Kind) Feed { return "" }

// ListFeed implements Store.
func (c *Client) ListFeed(ctx context.Context, _ Feed) (Page, error) { return c.List(ctx) }

// ListCached implements Store. The platform keeps no cheaper copy, so the list is current.
func (c *Client) ListCached(ctx context.Context, _ Feed) (Page, error) { return c.List(ctx) }

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, _ Feed, after int64, waitFactor int) (Page, error) {
	wait := time.Duration(waitFactor) * c.WatchWait
	query := watchQuery{After: RevisionOf(after), WaitMS: wait.Milliseconds()}
	resp, err := c.Call(ctx, wait, c.Request().Get("/v1/watch").QueryStruct(query))
	if err != nil {
		return Page{}, err
	}
	if resp.Status == http.StatusGone || resp.History != HistoryOf(after) {
		return Page{}, &CompactedError{After: after}
	}
	return c.decodePage(resp)
}
