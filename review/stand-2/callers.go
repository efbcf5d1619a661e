package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lookupTimeout and connectTimeout are the times that the pages give a caller's look-up and a new
	// connection.
	lookupTimeout  = time.Second
	connectTimeout = time.Second
	// requestPause is the pause between two requests of a caller; it is within four fifths of the
	// idle timeout of 15 s, within which callers reuse a connection.
	requestPause = 10 * time.Second
	// retryPause is the pause of a caller that could not connect.
	retryPause = time.Second
)

// counters are what the callers of a process have seen.
type counters struct {
	Open     int64 `json:"open"`
	Lookups  int64 `json:"lookups"`
	Sent     int64 `json:"sent"`
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	Cut      int64 `json:"cut"`
	NoConn   int64 `json:"no_connection"`
}

// caller is one client: it looks hosts up, keeps one connection to a host and sends a request on it
// now and then.
type caller struct {
	n           int
	rng         *rand.Rand
	directories []string
	zone        string
	region      string
	host        string
	path        string
	// keepsLookups says that the caller keeps its connection to the directory open.
	keepsLookups bool
	c            *counters

	lookup     *connection
	lookupAt   string
	addresses  []string
	lookedUpAt time.Time
	failed     map[string]time.Time
	conn       *connection
}

// connection is a connection with its reader.
type connection struct {
	net.Conn
	r *bufio.Reader
}

func dial(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, r: bufio.NewReaderSize(c, 1024)}, nil
}

// exchange sends a request and reads the whole answer.
func (c *connection) exchange(head string, timeout time.Duration) (*http.Response, []byte, error) {
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := c.Write([]byte(head)); err != nil {
		return nil, nil, err
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body := make([]byte, 0, 512)
	buf := make([]byte, 512)
	for {
		n, err := resp.Body.Read(buf)
		body = append(body, buf[:n]...)
		if err != nil {
			if err.Error() != "EOF" {
				return nil, nil, err
			}
			return resp, body, nil
		}
	}
}

// resolve asks up to three directories, nearest first.
func (c *caller) resolve() bool {
	if len(c.addresses) > 0 && time.Since(c.lookedUpAt) < time.Second {
		return true
	}
	for _, d := range c.directories {
		if addresses, ok := c.ask(d); ok {
			c.addresses, c.lookedUpAt = addresses, time.Now()
			return true
		}
	}
	// Callers keep a response for longer if they can't obtain a new one.
	return len(c.addresses) > 0
}

func (c *caller) ask(d string) ([]string, bool) {
	atomic.AddInt64(&c.c.Lookups, 1)
	conn := c.lookup
	if conn == nil || c.lookupAt != d {
		var err error
		if conn, err = dial(d); err != nil {
			return nil, false
		}
	}
	connection := "close"
	if c.keepsLookups {
		connection = "keep-alive"
	}
	resp, body, err := conn.exchange(fmt.Sprintf(
		"GET /v1/resolution?name=%s&region=%s&zone=%s HTTP/1.1\r\nHost: %s\r\nConnection: %s\r\n\r\n",
		c.host, c.region, c.zone, d, connection), lookupTimeout)
	keep := err == nil && c.keepsLookups && !resp.Close
	if c.lookup != nil && c.lookup != conn {
		_ = c.lookup.Close()
	}
	c.lookup, c.lookupAt = nil, ""
	if keep {
		c.lookup, c.lookupAt = conn, d
	} else {
		_ = conn.Close()
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil, false
	}
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.Unmarshal(body, &answer) != nil || len(answer.Addresses) == 0 {
		return nil, false
	}
	return answer.Addresses, true
}

// connect opens a connection to one of the addresses at random, except those that have failed this
// caller in the last seconds.
func (c *caller) connect() bool {
	if !c.resolve() {
		return false
	}
	var usable []string
	for _, a := range c.addresses {
		if time.Since(c.failed[a]) > 3*time.Second {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		usable = c.addresses
	}
	a := usable[c.rng.Intn(len(usable))]
	conn, err := dial(a)
	if err != nil {
		c.failed[a] = time.Now()
		return false
	}
	c.conn = conn
	atomic.AddInt64(&c.c.Open, 1)
	return true
}

func (c *caller) disconnect(failed bool) {
	if failed {
		c.failed[c.conn.RemoteAddr().String()] = time.Now()
	}
	_ = c.conn.Close()
	c.conn = nil
	atomic.AddInt64(&c.c.Open, -1)
}

// run sends requests until the process ends.
func (c *caller) run() {
	for i := 0; ; i++ {
		if c.conn == nil && !c.connect() {
			atomic.AddInt64(&c.c.NoConn, 1)
			time.Sleep(retryPause/2 + time.Duration(c.rng.Int63n(int64(retryPause))))
			continue
		}
		id := fmt.Sprintf("%s-%d-%d", c.zone, c.n, i)
		atomic.AddInt64(&c.c.Sent, 1)
		resp, _, err := c.conn.exchange(fmt.Sprintf(
			"GET %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%s: 3000\r\n\r\n",
			c.path, id, c.host, id, wire.Headers.Deadline), 3*time.Second)
		switch {
		case err != nil:
			atomic.AddInt64(&c.c.Cut, 1)
			c.disconnect(true)
		case resp.StatusCode == http.StatusOK:
			atomic.AddInt64(&c.c.Answered, 1)
			if resp.Close {
				c.disconnect(false)
			}
		default:
			atomic.AddInt64(&c.c.Refused, 1)
			if resp.Close {
				c.disconnect(true)
			}
		}
		if c.conn == nil {
			time.Sleep(retryPause/2 + time.Duration(c.rng.Int63n(int64(retryPause))))
			continue
		}
		if c.idle(requestPause*8/10 + time.Duration(c.rng.Int63n(int64(requestPause*4/10)))) {
			c.disconnect(true)
		}
	}
}

// idle waits until the next request; it reports whether the host has closed the connection. Now and
// then the caller looks the hosts up again.
func (c *caller) idle(pause time.Duration) bool {
	_ = c.conn.SetDeadline(time.Now().Add(pause))
	_, err := c.conn.r.ReadByte()
	var ne net.Error
	if e, ok := err.(net.Error); ok {
		ne = e
	}
	ended := ne == nil || !ne.Timeout()
	if !ended && c.keepsLookups {
		c.resolve()
	}
	return ended
}

// runCallers runs many callers of a zone; it prints a line of counters every second.
func runCallers(args []string) int {
	fs := flag.NewFlagSet("callers", flag.ExitOnError)
	zone := fs.String("zone", "", "zone")
	region := fs.String("region", "", "region")
	host := fs.String("host", "", "host name of the requests")
	path := fs.String("path", "/", "path prefix")
	directories := fs.String("directories", "", "addresses, nearest first")
	count := fs.Int("count", 1, "number of callers")
	keep := fs.Int("keep", 0, "number of callers that keep their connection to the directory open")
	ramp := fs.Duration("ramp", 8*time.Second, "time in which the callers start")
	_ = fs.Parse(args)
	var c counters
	var wg sync.WaitGroup
	for n := range *count {
		wg.Add(1)
		go func() {
			time.Sleep(time.Duration(n) * *ramp / time.Duration(*count))
			(&caller{
				n: n, rng: rand.New(rand.NewSource(int64(n) + time.Now().UnixNano())),
				directories: strings.Split(*directories, ","), zone: *zone, region: *region, host: *host,
				path: *path, keepsLookups: n%(max(*count/max(*keep, 1), 1)) == 0 && *keep > 0, c: &c,
				failed: map[string]time.Time{},
			}).run()
		}()
	}
	for {
		time.Sleep(time.Second)
		_ = json.NewEncoder(os.Stdout).Encode(counters{
			Open: atomic.LoadInt64(&c.Open), Lookups: atomic.LoadInt64(&c.Lookups),
			Sent: atomic.LoadInt64(&c.Sent), Answered: atomic.LoadInt64(&c.Answered),
			Refused: atomic.LoadInt64(&c.Refused), Cut: atomic.LoadInt64(&c.Cut),
			NoConn: atomic.LoadInt64(&c.NoConn),
		})
	}
}
