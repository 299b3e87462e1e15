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
	// adminTimeout is the time limit of one request to a daemon's admin address.
	adminTimeout          = 5 * time.Second
	maxAdminResponseBytes = 64 << 20
)

// adminGet sends a GET request to an admin endpoint of the daemon at addr and decodes
// the JSON response into the value that into points to.
func adminGet(ctx context.Context, addr, path string, query, into any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := sling.New().Base("http://" + addr).Get(path).QueryStruct(query).Request()
	if err != nil {
		return &InvalidError{"admin address " + addr + ": " + err.Error()}
	}
	resp, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return errors.Wrapf(err, "no response from the daemon's admin address %s; select another daemon with --admin", addr)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "read the response of %s", addr)
	}
	if resp.StatusCode != http.StatusOK {
		return &InvalidError{string(body)}
	}
	return errors.Wrapf(decodeJSON(body, into), "decode the response of %s", addr)
}
