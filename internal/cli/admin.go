package cli

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
)

const (
	// adminTimeout bounds one call to a daemon's admin address.
	adminTimeout = 5 * time.Second
	// maxAdminAnswer bounds its answer, in bytes.
	maxAdminAnswer = 64 << 20
)

// adminGet reads one of a daemon's admin endpoints.
func adminGet(ctx context.Context, addr, path string, query, into any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := sling.New().Base("http://" + addr).Get(path).QueryStruct(query).Request()
	if err != nil {
		return &InvalidError{"admin address " + addr + ": " + err.Error()}
	}
	resp, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return errors.Wrapf(err, "no answer from the daemon's admin address %s; name another daemon with --admin", addr)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminAnswer))
	if err != nil {
		return errors.Wrapf(err, "answer of %s", addr)
	}
	if resp.StatusCode != http.StatusOK {
		return &InvalidError{string(body)}
	}
	return errors.Wrapf(decodeJSON(body, into), "answer of %s", addr)
}
