package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

// nearlyFullDivisor says from when on an upstream is nearly full: all slots but this part are busy.
const nearlyFullDivisor = 5

// runTarget is a sound upstream: it registers in the store, answers only requests that expect its instance, and marks its answers.
func runTarget(args []string) int {
	fs := flag.NewFlagSet("target", flag.ExitOnError)
	instance := fs.String("id", "", "instance")
	store := fs.String("store", "", "address of the store")
	service := fs.String("service", "", "service")
	zone := fs.String("zone", "", "zone")
	listen := fs.String("listen", "127.0.0.1:0", "address")
	work := fs.Duration("work", 20*time.Millisecond, "time of a request")
	slots := fs.Int("slots", 64, "requests that run at once")
	queue := fs.Int("queue", 192, "requests that wait for a slot")
	nearly := fs.Float64("nearly", 1, "factor of the work while the upstream is nearly full")
	verbose := fs.Bool("verbose", true, "whether each request is reported")
	_ = fs.Parse(args)
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	var admitted atomic.Int64
	sem := make(chan struct{}, *slots)
	load := func() string {
		n := int(admitted.Load())
		return fmt.Sprintf("%d,%d,%d", min(n, *slots), max(n-*slots, 0), *slots)
	}
	say := func(what, id string) {
		if !*verbose {
			return
		}
		fmt.Printf("%d %s %s %s\n", time.Now().UnixMilli(), *instance, what, id)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Instance-Id", *instance)
		w.Header().Set(wire.Headers.Load, load())
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		id, expected := r.Header.Get("X-Request-Id"), r.Header.Get(wire.Headers.Expect)
		w.Header().Set("X-Request-Id", id)
		if expected != "" && expected != *instance {
			w.Header().Set("X-Instance-Id", *instance)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		defer admitted.Add(-1)
		if admitted.Add(1) > int64(*slots+*queue) {
			w.Header().Set(wire.Headers.NotExecuted, "1")
			w.Header().Set(wire.Headers.Load, load())
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		deadline, err := strconv.Atoi(r.Header.Get(wire.Headers.Deadline))
		if err != nil {
			deadline = 30_000
		}
		left, cancel := context.WithTimeout(r.Context(), time.Duration(deadline)*time.Millisecond)
		defer cancel()
		select {
		case sem <- struct{}{}:
			defer func() { <-sem }()
		case <-left.Done():
			w.Header().Set(wire.Headers.NotExecuted, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		say("begins", id)
		took := *work
		if len(sem)*nearlyFullDivisor >= *slots*(nearlyFullDivisor-1) {
			took = time.Duration(float64(took) * *nearly)
		}
		select {
		case <-time.After(took):
		case <-left.Done():
			// An upstream stops its work at the deadline.
			w.Header().Set(wire.Headers.Stamp, *instance)
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		say("ends", id)
		w.Header().Set(wire.Headers.Stamp, *instance)
		w.Header().Set(wire.Headers.Load, load())
		body := "answer to " + id + "\n"
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	})
	entry := func() map[string]any {
		return map[string]any{
			"metadata": map[string]any{"name": *instance},
			"specification": map[string]any{
				"address": l.Addr().String(), "born": time.Now().UnixMilli(),
				"info": map[string]any{"service": *service, "version": "v1", "zone": *zone, "slots": *slots},
			},
			"status": wire.Status,
		}
	}
	send := func(method, path string, v any) {
		data, _ := json.Marshal(v)
		req, err := http.NewRequest(method, "http://"+*store+"/v1/objects/servers"+path, bytes.NewReader(data))
		if err != nil {
			return
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	send(http.MethodPost, "", entry())
	srv := &http.Server{Handler: mux, IdleTimeout: 10 * time.Second}
	fmt.Fprintln(os.Stderr, srv.Serve(l))
	return exitCannotRun
}
