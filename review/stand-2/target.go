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
	"syscall"
	"time"
)

// runTarget is a sound upstream: it registers in the store, answers only requests that expect its instance, and marks its answers.
func runTarget(args []string) int {
	fs := flag.NewFlagSet("target", flag.ExitOnError)
	instance := fs.String("id", "", "instance")
	store := fs.String("store", "", "address of the store")
	service := fs.String("service", "", "service")
	zone := fs.String("zone", "", "zone")
	listen := fs.String("listen", "127.0.0.1:0", "address")
	work := fs.Duration("work", 20*time.Millisecond, "time of a request")
	late := fs.Bool("late", false, "whether the body is read on only after the work")
	window := fs.Int("window", 0, "size of the receive buffer of connections; 0 leaves the system's")
	_ = fs.Parse(args)
	const slots = 64
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if *window == 0 {
			return nil
		}
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, *window)
		})
	}}
	l, err := lc.Listen(context.Background(), "tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	var running atomic.Int64
	load := func() string { return fmt.Sprintf("%d,0,%d", running.Load(), slots) }
	say := func(what, id string) {
		fmt.Printf("%d %s %s %s\n", time.Now().UnixMilli(), *instance, what, id)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Instance-Id", *instance)
		w.Header().Set("X-Server-Load", load())
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		id, expected := r.Header.Get("X-Request-Id"), r.Header.Get("X-Expect-Instance")
		w.Header().Set("X-Request-Id", id)
		if expected != "" && expected != *instance {
			w.Header().Set("X-Instance-Id", *instance)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		running.Add(1)
		defer running.Add(-1)
		say("begins", id)
		if !*late {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		time.Sleep(*work)
		if n, err := io.Copy(io.Discard, r.Body); err != nil {
			say("is cut off after "+strconv.FormatInt(n, 10)+" bytes: "+err.Error(), id)
			return
		}
		say("ends", id)
		w.Header().Set("X-Server-Stamp", *instance)
		w.Header().Set("X-Server-Load", load())
		body := "answer to " + id + "\n"
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	})
	entry := func() map[string]any {
		return map[string]any{
			"metadata": map[string]any{"name": *instance},
			"specification": map[string]any{
				"address": l.Addr().String(), "born": time.Now().UnixMilli(),
				"info": map[string]any{"service": *service, "version": "v1", "zone": *zone, "slots": slots},
			},
			"status": map[string]any{"state": "ready", "seq": 1, "cold_left_ms": 0},
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
