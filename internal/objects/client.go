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
	var obj Object
	resp, err := c.Call(ctx, 0, c.Request().Get(objectPath(key)))
	if err != nil {
		return obj, err
	}
	if resp.Status == http.StatusNotFound {
		return obj, &NotFoundError{Key: key}
	}
	return obj, resp.Decode(&obj)
}

// List implements Store.
func (c *Client) List(ctx context.Context, kinds ...record.Kind) (Page, error) {
	var page Page
	query := listQuery{}
	for _, k := range kinds {
		query.Kinds = append(query.Kinds, string(k))
	}
	resp, err := c.Call(ctx, 0, c.Request().Get("/v1/objects").QueryStruct(query))
	if err != nil {
		return page, err
	}
	page.History = resp.History
	return page, resp.Decode(&page)
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key record.Key, value []byte, ifVersion int64) (Object, error) {
	req := c.Request().Put(objectPath(key)).QueryStruct(versionQuery{ifVersion}).Body(bytesReader(value))
	return c.write(ctx, req, ifVersion)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key record.Key, ifVersion int64) (Object, error) {
	req := c.Request().Delete(objectPath(key)).QueryStruct(versionQuery{ifVersion})
	return c.write(ctx, req, ifVersion)
}

func (c *Client) write(ctx context.Context, req *sling.Sling, ifVersion int64) (Object, error) {
	var obj Object
	resp, err := c.Call(ctx, 0, req)
	if err != nil {
		return obj, err
	}
	if resp.Status == http.StatusConflict {
		if err := resp.DecodeBody(&obj); err != nil {
			return obj, err
		}
		return Object{}, &ConflictError{Current: obj, IfVersion: ifVersion}
	}
	return obj, resp.Decode(&obj)
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
	var page Page
	wait := time.Duration(waitFactor) * c.WatchWait
	query := watchQuery{After: after, WaitMS: wait.Milliseconds()}
	resp, err := c.Call(ctx, wait, c.Request().Get("/v1/watch").QueryStruct(query))
	if err != nil {
		return page, err
	}
	if resp.Status == http.StatusGone {
		return page, &CompactedError{After: after}
	}
	page.History = resp.History
	return page, resp.Decode(&page)
}
