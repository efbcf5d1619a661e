package exchanger

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

// Client sends net/http requests over a connection pool for each server address.
type Client struct {
	exchanger *Exchanger

	mu    sync.Mutex
	pools map[string]*Pool
}

// NewClient returns a client that opens its connections with e.
func NewClient(e *Exchanger) *Client {
	return &Client{exchanger: e, pools: map[string]*Pool{}}
}

// Do sends q and returns the response with its complete body. GET and HEAD requests are retried
// once if a reused connection was stale; others are sent on a new connection.
func (c *Client) Do(q *http.Request) (*http.Response, error) {
	r, err := convertRequest(q)
	if err != nil {
		return nil, notRun("encode", err)
	}
	resp, err := c.send(q, r)
	if err != nil {
		return nil, err
	}
	return convertResponse(q, resp), nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.Close()
	}
	clear(c.pools)
}

func (c *Client) send(q *http.Request, r *Request) (*Response, error) {
	p := c.pool(address(q))
	if !idempotent(q.Method) {
		return p.ExchangeNewConn(q.Context(), r)
	}
	return p.ExchangeWithRetry(q.Context(), r)
}

func (c *Client) pool(address string) *Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = NewPool(c.exchanger, PoolConfig{Address: address})
		c.pools[address] = p
	}
	return p
}

func idempotent(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

func address(q *http.Request) string {
	if q.URL.Port() == "" {
		return net.JoinHostPort(q.URL.Hostname(), "80")
	}
	return q.URL.Host
}

func convertRequest(q *http.Request) (*Request, error) {
	if q.URL.Scheme != "http" {
		return nil, errors.WithMessagef(ErrRequest, "unsupported scheme %q", q.URL.Scheme)
	}
	r := &Request{Method: q.Method, Path: q.URL.RequestURI(), Host: q.Host, Header: q.Header}
	if q.Body == nil {
		return r, nil
	}
	body, err := io.ReadAll(q.Body)
	_ = q.Body.Close()
	r.Body = body
	return r, err
}

func convertResponse(q *http.Request, resp *Response) *http.Response {
	return &http.Response{
		Status:        strconv.Itoa(resp.Status) + " " + http.StatusText(resp.Status),
		StatusCode:    resp.Status,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        resp.Header,
		Body:          io.NopCloser(bytes.NewReader(resp.Body)),
		ContentLength: int64(len(resp.Body)),
		Request:       q,
	}
}
