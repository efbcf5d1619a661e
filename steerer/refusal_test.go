package steerer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/fescuethread/fescuethread/platform"
)

// replayingTarget answers the first request of a connection. To each later one it writes a refusal
// of some earlier request once more, and runs it.
func replayingTarget(t *testing.T, id, refusal string, runs *atomic.Int64) *fakeTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for first := true; ; first = false {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, q.Body)
					runs.Add(1)
					response := refusal
					if first {
						response = okResponse(q, 0)
					}
					_, _ = io.WriteString(c, response)
				}
			}()
		}
	}()
	return &fakeTarget{id: id, ln: ln}
}

// TestRefusalWrittenOnceMoreIsNoPromise guards against an earlier refusal that a faulty target
// writes again on a kept connection: a request that ran is neither reported as not run nor sent to
// a second target.
func TestRefusalWrittenOnceMoreIsNoPromise(t *testing.T) {
	for name, refusal := range map[string]string{
		"busy":        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"too many":    "HTTP/1.1 429 Too Many Requests\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"misdirected": "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"other id":    "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: id-0\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			w := newFixture(t, replayingTarget(t, "i-1", refusal, &runs), replayingTarget(t, "i-2", refusal, &runs))
			for i := range 40 {
				before := runs.Load()
				rec := w.send("POST", fmt.Sprint("/sell/", i), millKey, func(q *http.Request) {
					q.Header.Set(platform.HeaderRequestID, fmt.Sprint("id-", i+1))
				})
				ran := runs.Load() - before
				switch rec.Code {
				case 408, 421, 429, 503:
					if ran > 0 {
						t.Fatalf("request %d ran and got status %d", i, rec.Code)
					}
				}
				if ran > 1 {
					t.Fatalf("request %d ran %d times", i, ran)
				}
			}
		})
	}
}

// TestStatusOfTargetIsNoPromise guards against a target that fails a request with a status that
// callers take for "not run": without the target's word for it, they get 502. Requests that may be
// repeated get the response as it is.
func TestStatusOfTargetIsNoPromise(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		target := startTarget(t, "i-1", func(q *http.Request, _ int) string {
			return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Server-Stamp: s\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n",
				status, q.Header.Get(platform.HeaderRequestID))
		})
		rec := newFixture(t, target).send("POST", "/sell/1", millKey)
		if rec.Code != 502 || rec.Header().Get(platform.HeaderStamp) != "" {
			t.Errorf("%d of a target: the caller got %d", status, rec.Code)
		}
		rec = newFixture(t, target).send("GET", "/look/1", millKey)
		if rec.Code != status || rec.Header().Get(platform.HeaderStamp) != "s" {
			t.Errorf("%d of a target to an idempotent request: the caller got %d", status, rec.Code)
		}
	}
}
