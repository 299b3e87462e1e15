package platform

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"encoding/json"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/radishhoist/radishhoist/record"
)

const (
	// callTimeout bounds every call but a watch.
	callTimeout = 5 * time.Second
	// watchWait is how long the platform holds a watch open.
	watchWait = 25 * time.Second
	// watchSlack is what a watch may take beyond watchWait.
	watchSlack = 5 * time.Second
	// maxAnswer bounds one answer, in bytes: a list of the whole set.
	maxAnswer = 256 << 20
)

// Client is a Store over HTTP. It is safe for concurrent use.
type Client struct {
	base *sling.Sling
	http *http.Client
}

// NewClient makes a client for the object API at base, such as
// "http://127.0.0.1:7000".
func NewClient(base string) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 4,
		MaxConnsPerHost:     16,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{
		base: sling.New().Base(base),
		http: &http.Client{Transport: transport},
	}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func objectPath(key record.Key) string {
	return "/v1/objects/" + url.PathEscape(string(key.Kind)) + "/" + url.PathEscape(key.Name)
}

// listQuery selects kinds.
type listQuery struct {
	Kinds []string `url:"kind,omitempty"`
}

// versionQuery makes a write conditional.
type versionQuery struct {
	IfVersion int64 `url:"ifVersion"`
}

// watchQuery waits for events after a revision.
type watchQuery struct {
	After  int64 `url:"after"`
	WaitMS int64 `url:"waitMS"`
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key record.Key) (Object, error) {
	var obj Object
	status, body, err := c.do(ctx, callTimeout, c.base.New().Get(objectPath(key)))
	if err != nil {
		return obj, err
	}
	if status == http.StatusNotFound {
		return obj, &NotFoundError{Key: key}
	}
	return obj, decode(status, body, &obj)
}

// List implements Store.
func (c *Client) List(ctx context.Context, kinds ...record.Kind) (Page, error) {
	var page Page
	query := listQuery{}
	for _, k := range kinds {
		query.Kinds = append(query.Kinds, string(k))
	}
	status, body, err := c.do(ctx, callTimeout*4, c.base.New().Get("/v1/objects").QueryStruct(query))
	if err != nil {
		return page, err
	}
	return page, decode(status, body, &page)
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key record.Key, value []byte, ifVersion int64) (Object, error) {
	req := c.base.New().Put(objectPath(key)).QueryStruct(versionQuery{ifVersion}).Body(bytesReader(value))
	return c.write(ctx, req, ifVersion)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key record.Key, ifVersion int64) (Object, error) {
	req := c.base.New().Delete(objectPath(key)).QueryStruct(versionQuery{ifVersion})
	return c.write(ctx, req, ifVersion)
}

func (c *Client) write(ctx context.Context, req *sling.Sling, ifVersion int64) (Object, error) {
	var obj Object
	status, body, err := c.do(ctx, callTimeout, req)
	if err != nil {
		return obj, err
	}
	if status == http.StatusConflict {
		if err := decode(http.StatusOK, body, &obj); err != nil {
			return obj, err
		}
		return Object{}, &ConflictError{Current: obj, IfVersion: ifVersion}
	}
	return obj, decode(status, body, &obj)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, after int64) (Page, error) {
	var page Page
	query := watchQuery{After: after, WaitMS: watchWait.Milliseconds()}
	status, body, err := c.do(ctx, watchWait+watchSlack, c.base.New().Get("/v1/watch").QueryStruct(query))
	if err != nil {
		return page, err
	}
	if status == http.StatusGone {
		return page, &CompactedError{After: after}
	}
	return page, decode(status, body, &page)
}

// do makes one call. Transport failures and server errors become
// *UnavailableError: whether a write took effect is then not known.
func (c *Client) do(ctx context.Context, timeout time.Duration, req *sling.Sling) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := req.Request()
	if err != nil {
		return 0, nil, errors.Wrap(err, "build platform request")
	}
	resp, err := c.http.Do(r.WithContext(ctx))
	if err != nil {
		return 0, nil, &UnavailableError{Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return 0, nil, &UnavailableError{Cause: err}
	}
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		return 0, nil, &UnavailableError{Cause: errors.New("status " + strconv.Itoa(resp.StatusCode))}
	}
	return resp.StatusCode, body, nil
}

func decode(status int, body []byte, into any) error {
	if status != http.StatusOK {
		return errors.Errorf("platform refused the call: status %d: %s", status, clip(body))
	}
	return errors.Wrap(json.Unmarshal(body, into), "read the platform's answer")
}

// clipLength bounds how much of an answer an error shows, in bytes.
const clipLength = 200

func clip(b []byte) string {
	if len(b) > clipLength {
		b = b[:clipLength]
	}
	return string(b)
}
