package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/fescuethread/fescuethread/platform"
)

const (
	// lookupTimeout is the timeout of a request to the directory.
	lookupTimeout = time.Second
	// maxIdleConnsPerHost is the number of idle connections that a caller keeps to each host.
	maxIdleConnsPerHost = 2
)

// Request is a request that a caller sends.
type Request struct {
	// ID identifies the attempt.
	ID string
	// Host is the Host header, which selects the route.
	Host string
	// Method and Path are the HTTP method and path; Path may include a query.
	Method, Path string
	// Key is the customer's API key; empty for public routes.
	Key string
	// Customer is sent in the header field for the customer's name, which hosts must replace since
	// callers may not set it; empty sends none.
	Customer string
	// Object is the affinity key, which names what the request concerns; may be empty.
	Object string
	// Body is the request body.
	Body []byte
	// Timeout is the timeout of the whole request, also sent as its deadline.
	Timeout time.Duration
}

// Response is a complete response; the zero value stands for none.
type Response struct {
	// Status is the status code.
	Status int
	// Stamp is the ID of the target that made the response; empty if a host made it.
	Stamp string
	// Body is the response body.
	Body string
}

// Caller sends requests over reused connections.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller without open connections.
func NewCaller() *Caller {
	t := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}
	return &Caller{client: &http.Client{Transport: t}}
}

// Close closes idle connections; the caller can still be used.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// Lookup asks a directory for the addresses of hosts that callers of a zone should use. name is
// the Host header of their requests.
func (c *Caller) Lookup(ctx context.Context, directory, name, zone string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	q := url.Values{"name": {name}, platform.QueryZone: {zone}}
	u := "http://" + directory + platform.PathDirectory + "?" + q.Encode()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, &Error{Op: "lookup", Kind: KindRequest, Err: err}
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return nil, &Error{Op: "lookup", Kind: KindUnreachable, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return nil, &Error{Op: "lookup", Kind: KindUnreachable, Err: err}
	}
	return body.Addresses, nil
}

// Send sends a request to a host once and returns the complete response.
func (c *Caller) Send(ctx context.Context, address string, q Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	r, err := newRequest(ctx, address, q)
	if err != nil {
		return Response{}, &Error{Op: "send " + q.ID, Kind: KindRequest, Err: err}
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return Response{}, &Error{Op: "send " + q.ID, Kind: KindUnreachable, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, &Error{Op: "read " + q.ID, Kind: KindUnreachable, Err: err}
	}
	return Response{
		Status: resp.StatusCode, Stamp: resp.Header.Get(platform.HeaderStamp), Body: string(text),
	}, nil
}

func newRequest(ctx context.Context, address string, q Request) (*http.Request, error) {
	u := "http://" + address + q.Path
	r, err := http.NewRequestWithContext(ctx, q.Method, u, onlyReader{bytes.NewReader(q.Body)})
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(q.Body))
	if len(q.Body) == 0 {
		r.Body = nil
	}
	r.Host = q.Host
	r.Header.Set(platform.HeaderRequestID, q.ID)
	r.Header.Set(platform.HeaderDeadline, fmt.Sprint(q.Timeout.Milliseconds()))
	if q.Key != "" {
		r.Header.Set(platform.HeaderAPIKey, q.Key)
	}
	if q.Customer != "" {
		r.Header.Set(platform.HeaderCustomer, q.Customer)
	}
	if q.Object != "" {
		r.AddCookie(&http.Cookie{Name: platform.CookieAffinityKey, Value: q.Object})
	}
	return r, nil
}

// onlyReader hides the type of a reader, so that the transport can't rewind and resend the body.
type onlyReader struct {
	io.Reader
}
