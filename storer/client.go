package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/pacer"
)

const (
	firstRetryDelay   = 50 * time.Millisecond
	longestRetryDelay = 2 * time.Second
)

// Doer sends an HTTP request; it must not send a request twice by itself.
type Doer interface {
	Do(req *http.Request) (*http.Response, error)
}

// Client calls the platform's object API.
type Client struct {
	base    string
	doer    Doer
	timeout time.Duration
	seed    int64
	pauser  pacer.Pauser
}

// New returns a client of the API at a base URL; timeout bounds each call.
func New(base string, doer Doer, timeout time.Duration) *Client {
	return &Client{
		base:    strings.TrimSuffix(base, "/"),
		doer:    doer,
		timeout: timeout,
		seed:    rand.Int63(),
		pauser:  pacer.Clock{},
	}
}

// WithRetry returns a client whose retries draw their jitter from seed and wait with p.
func (c *Client) WithRetry(seed int64, p pacer.Pauser) *Client {
	n := *c
	n.seed = seed
	n.pauser = p
	return &n
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	op := "get " + name
	a, err := c.callObject(ctx, call{op: op, method: http.MethodGet, name: name})
	if err != nil {
		return Object{}, err
	}
	version, err := ParseVersion(a.header.Get("ETag"))
	if err != nil {
		return Object{}, &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	return Object{
		Name:    name,
		Version: version,
		Change:  a.header.Get(ChangeHeader),
		Body:    a.body,
	}, nil
}

// Put writes an object if its version is expected, or if expected is 0 and it doesn't exist.
func (c *Client) Put(
	ctx context.Context, name string, expected uint64, change string, body []byte,
) (uint64, error) {
	op := "put " + name
	if len(body) > MaxBodyBytes {
		return 0, &Error{Op: op, Kind: KindTooLarge}
	}
	header := make(http.Header)
	setPrecondition(header, expected)
	header.Set(ChangeHeader, change)
	a, err := c.callObject(ctx, call{
		op: op, method: http.MethodPut, name: name, header: header, body: body,
	})
	if err != nil {
		return 0, err
	}
	version, err := ParseVersion(a.header.Get("ETag"))
	if err == nil && version != expected+1 {
		err = errors.Errorf("the answer names version %d for %d", version, expected+1)
	}
	if err != nil {
		return 0, &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	return version, nil
}

// Delete removes an object if its version is expected.
func (c *Client) Delete(ctx context.Context, name string, expected uint64) error {
	header := make(http.Header)
	header.Set("If-Match", FormatVersion(expected))
	_, err := c.callObject(ctx, call{
		op: "delete " + name, method: http.MethodDelete, name: name, header: header,
	})
	return err
}

// List returns the objects whose names begin with prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	q := url.Values{"prefix": {prefix}}
	return c.list(ctx, "list "+prefix, q, c.timeout)
}

// Watch waits for objects under prefix that were written after a revision of the store; it returns
// an empty listing once wait has passed without any.
func (c *Client) Watch(
	ctx context.Context, prefix string, after uint64, wait time.Duration,
) (Listing, error) {
	q := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(after, 10)},
		"wait":   {wait.String()},
	}
	return c.list(ctx, "watch "+prefix, q, wait+c.timeout)
}

// Hosts returns the platform's list of live and leaving hosts; it lags.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	op := "hosts"
	a, err := c.call(ctx, call{op: op, method: http.MethodGet, path: HostsPath}, c.timeout)
	if err != nil {
		return nil, err
	}
	var wire WireHosts
	if err := json.Unmarshal(a.body, &wire); err != nil {
		return nil, &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	hosts := make([]Host, 0, len(wire.Hosts))
	for _, h := range wire.Hosts {
		hosts = append(hosts, Host(h))
	}
	return hosts, nil
}

func (c *Client) list(
	ctx context.Context, op string, q url.Values, timeout time.Duration,
) (Listing, error) {
	path := ObjectsPath + "?" + q.Encode()
	a, err := c.call(ctx, call{op: op, method: http.MethodGet, path: path}, timeout)
	if err != nil {
		return Listing{}, err
	}
	var wire WireListing
	if err := json.Unmarshal(a.body, &wire); err != nil {
		return Listing{}, &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	l := Listing{Revision: wire.Revision, Objects: make([]Object, 0, len(wire.Objects))}
	for _, o := range wire.Objects {
		l.Objects = append(l.Objects, Object(o))
	}
	return l, nil
}

type call struct {
	op     string
	method string
	name   string
	path   string
	header http.Header
	body   []byte
}

type answer struct {
	header http.Header
	body   []byte
}

func (c *Client) callObject(ctx context.Context, k call) (answer, error) {
	if err := checkName(k.name); err != nil {
		return answer{}, &Error{Op: k.op, Kind: KindInvalid, Err: err}
	}
	k.path = ObjectsPath + "/" + k.name
	return c.call(ctx, k, c.timeout)
}

func (c *Client) call(ctx context.Context, k call, timeout time.Duration) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, k.method, c.base+k.path, bytes.NewReader(k.body))
	if err != nil {
		return answer{}, &Error{Op: k.op, Kind: KindInvalid, Err: err}
	}
	for name, values := range k.header {
		req.Header[name] = values
	}
	resp, err := c.doer.Do(req)
	if err != nil {
		return answer{}, &Error{Op: k.op, Kind: KindUnavailable, Err: err}
	}
	return readAnswer(k.op, resp)
}

func readAnswer(op string, resp *http.Response) (answer, error) {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return answer{}, &Error{Op: op, Kind: KindUnavailable, Err: err}
	}
	if len(body) > maxAnswerBytes {
		return answer{}, &Error{Op: op, Kind: KindTooLarge}
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		err := errors.Errorf("the platform answered %d", resp.StatusCode)
		return answer{}, &Error{Op: op, Kind: kindOfStatus(resp.StatusCode), Err: err}
	}
	return answer{header: resp.Header, body: body}, nil
}
