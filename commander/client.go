package commander

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/exchanger"
	"github.com/fescuethread/fescuethread/storer"
)

// callTimeout bounds one call to the platform or to a host.
const callTimeout = 5 * time.Second

// withClient runs f with an HTTP client that is closed afterwards.
func withClient(f func(c *exchanger.Client) error) error {
	e, err := exchanger.New(exchanger.Bounds{})
	if err != nil {
		return &Error{Op: "start", Kind: KindFailed, Err: err}
	}
	defer e.Close()
	c := exchanger.NewClient(e)
	defer c.Close()
	return f(c)
}

// withPlatform runs f with a client of the platform.
func (o *options) withPlatform(f func(s *storer.Client) error) error {
	if o.platform == "" {
		cause := errors.New("--platform is missing; state the platform's IP address and port")
		return &Error{Op: "arguments", Kind: KindUsage, Err: cause}
	}
	return withClient(func(c *exchanger.Client) error {
		return f(storer.New("http://"+o.platform, c, callTimeout))
	})
}

// fetch gets a page of a host as JSON into v, which may be nil.
func fetch(ctx context.Context, c *exchanger.Client, url string, v interface{}) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return &Error{Op: "get " + url, Kind: KindUsage, Err: errors.WithStack(err)}
	}
	resp, err := c.Do(r)
	if err != nil {
		return &Error{Op: "get " + url, Kind: KindUnreachable, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return &Error{Op: "get " + url, Kind: KindUnreachable, Err: errors.WithStack(err)}
	}
	if resp.StatusCode != http.StatusOK {
		cause := errors.Errorf("status %d: %s", resp.StatusCode, body)
		return &Error{Op: "get " + url, Kind: KindFailed, Err: cause}
	}
	if err := json.Unmarshal(body, v); err != nil {
		return &Error{Op: "get " + url, Kind: KindFailed, Err: errors.WithStack(err)}
	}
	return nil
}

// storeError turns an error of the platform's client into one with an exit code.
func storeError(op string, err error) error {
	switch {
	case err == nil:
		return nil
	case storer.IsKind(err, storer.KindConflict):
		return &Error{Op: op, Kind: KindConflict, Err: err}
	case storer.IsKind(err, storer.KindUnavailable):
		return &Error{Op: op, Kind: KindUnreachable, Err: err}
	default:
		return &Error{Op: op, Kind: KindFailed, Err: err}
	}
}
