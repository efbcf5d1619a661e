package targeter

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// Answer is the JSON that a target answers with.
type Answer struct {
	Target    string      `json:"target"`
	Method    string      `json:"method"`
	Path      string      `json:"path"`
	Query     string      `json:"query"`
	Host      string      `json:"host"`
	BodyBytes int         `json:"bodyBytes"`
	Run       int         `json:"run"`
	Headers   http.Header `json:"headers"`
	Trailers  http.Header `json:"trailers,omitempty"`
	Padding   string      `json:"padding,omitempty"`
}

// answerParameter is the query parameter that asks for an answer of a number of bytes.
const answerParameter = "answer"

func (t *Target) answer(w http.ResponseWriter, r *http.Request, k task) {
	a := t.describe(r, k)
	status := http.StatusOK
	id := r.Header.Get(RequestHeader)
	switch k.behavior.Fault {
	case FaultClose:
		panic(http.ErrAbortHandler)
	case FaultTruncate, FaultTwice, FaultUnsolicited:
		t.answerBroken(w, id, a, k.behavior.Fault)
		return
	case FaultCrossed:
		id = "other-" + id
	case FaultFail:
		status = http.StatusInternalServerError
	}
	w.Header().Set(RequestHeader, id)
	sendJSON(w, status, a)
}

func (t *Target) describe(r *http.Request, k task) Answer {
	return Answer{
		Target:    t.cfg.Name,
		Method:    r.Method,
		Path:      r.URL.Path,
		Query:     r.URL.RawQuery,
		Host:      r.Host,
		BodyBytes: len(k.body),
		Run:       k.run,
		Headers:   r.Header,
		Trailers:  r.Trailer,
		Padding:   strings.Repeat("x", paddingBytes(r, k.behavior)),
	}
}

func paddingBytes(r *http.Request, b Behavior) int {
	n, err := strconv.Atoi(r.URL.Query().Get(answerParameter))
	if err != nil {
		n = 0
	}
	if b.Fault == FaultOversize {
		n = b.AnswerBytes
	}
	return min(max(n, 0), maxAnswerBytes)
}

// answerBroken writes a malformed answer by hand and waits until the caller closes the connection.
func (t *Target) answerBroken(w http.ResponseWriter, id string, a Answer, f Fault) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	raw := rawAnswer(id, a)
	switch f {
	case FaultTruncate:
		_, _ = conn.Write(raw[:len(raw)-len(raw)/4])
		return
	case FaultTwice:
		raw = append(raw, raw...)
	case FaultUnsolicited:
		raw = append(raw, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"...)
	}
	if _, err := conn.Write(raw); err != nil {
		return
	}
	t.awaitClose(conn)
}

func (t *Target) awaitClose(conn net.Conn) {
	n, _ := io.Copy(io.Discard, conn)
	if n > 0 {
		t.counter.add(reusedRuns)
	}
}

func rawAnswer(id string, a Answer) []byte {
	body, err := json.Marshal(a)
	if err != nil {
		panic("targeter: an answer can't be encoded: " + err.Error())
	}
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
	b.WriteString(RequestHeader + ": " + id + "\r\n")
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	b.Write(body)
	return b.Bytes()
}
