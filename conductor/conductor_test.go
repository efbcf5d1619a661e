package conductor

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/lesismal/nbio/logging"

	"github.com/fescuethread/fescuethread/announcer"
	"github.com/fescuethread/fescuethread/logger"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/selector"
	"github.com/fescuethread/fescuethread/spreader"
	"github.com/fescuethread/fescuethread/timer"
)

func TestMain(m *testing.M) {
	logging.SetLevel(logging.LevelNone)
	m.Run()
}

const settingsText = `
[host]
name = "h1"
address = "127.0.0.1"
zone = "a1"
memory = 284
[listen]
callers = "127.0.0.1:0"
ready = "127.0.0.1:0"
directory = "127.0.0.1:0"
peer = PEER
[store]
address = "127.0.0.1:9"
[zones]
a1 = "a"
b1 = "b"
[bounds]
revoke_ms = 5000
ttl_max_s = 5
something_new = "ignored"
`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "edge.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func goodSettings(t *testing.T) string {
	t.Helper()
	return strings.Replace(settingsText, "PEER", freePeerPort(t), 1)
}

func TestErrorNamesInvalidSetting(t *testing.T) {
	good := goodSettings(t)
	if _, err := LoadSettings(writeSettings(t, good)); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ old, new, want string }{
		{`name = "h1"`, `name = ""`, "host.name"},
		{`address = "127.0.0.1"`, `address = "here"`, "host.address"},
		{`zone = "a1"`, `zone = "c1"`, "host.zone"},
		{`callers = "127.0.0.1:0"`, `callers = "x"`, "listen.callers"},
		{`address = "127.0.0.1:9"`, `address = ""`, "store.address"},
		{`memory = 284`, `memory = "much"`, "line 6"},
		{`revoke_ms = 5000`, `revoke_ms = `, "line"},
	} {
		_, err := LoadSettings(writeSettings(t, strings.Replace(good, tt.old, tt.new, 1)))
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("with %s the error is %v", tt.new, err)
		}
	}
	if _, err := LoadSettings("missing.toml"); err == nil {
		t.Error("a missing file was accepted")
	}
}

func newHost(t *testing.T) *Host {
	t.Helper()
	s, err := LoadSettings(writeSettings(t, goodSettings(t)))
	if err != nil {
		t.Fatal(err)
	}
	w := logger.NewAsyncWriter(io.Discard, 10)
	h, err := New(context.Background(), s, logger.New(w, logger.FormatJSON, log.FatalLevel), w)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		w.Close()
	})
	return h
}

func lookup(t *testing.T, h *Host, zone string) []string {
	t.Helper()
	rec := httptest.NewRecorder()
	directory{h}.ServeHTTP(rec, httptest.NewRequest("GET", "/v1/resolution?name=x&zone="+zone, nil))
	if rec.Code != 200 {
		return nil
	}
	var response struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if err := json.Unmarshal(rec.Body.Bytes(), &response); err != nil || response.TTL <= 0 {
		t.Fatal(rec.Body, err)
	}
	return response.Addresses
}

func TestDirectoryNamesServingHostsOfTheCallersRegion(t *testing.T) {
	h := newHost(t)
	if got := lookup(t, h, "a1"); got != nil {
		t.Fatalf("host is not ready, but its directory lists %v", got)
	}
	h.ready.Store(true)
	now := timer.Now()
	h.roster.Replace(now, []announcer.Member{
		h.self, {Name: "h2", Zone: "b1", Region: "b", CallerAddress: "10.0.0.2:1"},
		{Name: "h3", Zone: "b1", Region: "b", CallerAddress: "10.0.0.3:1"},
	})
	if got := lookup(t, h, "b1"); len(got) != 1 || got[0] != h.self.CallerAddress {
		t.Fatalf("the region has no live host; got %v, want this host", got)
	}
	if listed, _ := h.roster.SelfListed(); !listed {
		t.Fatal("the host list contains this host, but the roster reports it as not listed")
	}
	h.draining.Store(true)
	if got := lookup(t, h, "a1"); got != nil {
		t.Fatalf("host is shutting down, but its directory lists %v", got)
	}
}

func TestTokenTransferCountsOnce(t *testing.T) {
	var l transferLog
	first := &messenger.Gift{Host: "a", Number: 1, Incarnation: 5}
	if !l.accept(first) || l.accept(first) {
		t.Fatal("the first transfer was refused or its duplicate accepted")
	}
	// A process started after the clock was set back has a lower incarnation than the one before;
	// its transfers count too, since it debited the tokens.
	for _, incarnation := range []uint64{4, 6} {
		g := &messenger.Gift{Host: "a", Number: 1, Incarnation: incarnation}
		if !l.accept(g) || l.accept(g) {
			t.Fatalf("the transfer of process %d was refused or its duplicate accepted", incarnation)
		}
	}
	if l.accept(first) {
		t.Fatal("a duplicate was accepted after a transfer of another process")
	}
}

func TestReloadAppliesOnlyValidFile(t *testing.T) {
	h := newHost(t)
	path := writeSettings(t, strings.Replace(goodSettings(t), "ttl_max_s = 5", "ttl_max_s = 9", 1))
	h.Reload(path)
	if got := h.bounds.Load().MaxDirectoryTTL().Seconds(); got != 9 {
		t.Fatalf("the maximum directory TTL is %v s after a reload, want 9 s", got)
	}
	h.Reload(writeSettings(t, "["))
	if got := h.bounds.Load().MaxDirectoryTTL().Seconds(); got != 9 {
		t.Fatalf("the maximum directory TTL is %v s after reloading an invalid file, want 9 s", got)
	}
}

// TestPageHasEverySetting checks that docs/SETTINGS.md has a row for every setting.
func TestPageHasEverySetting(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	settings := reflect.TypeFor[Settings]()
	for i := range settings.NumField() {
		table := settings.Field(i)
		if table.Type.Kind() != reflect.Struct {
			continue
		}
		for j := range table.Type.NumField() {
			name := table.Tag.Get("toml") + "." + table.Type.Field(j).Tag.Get("toml")
			if !strings.Contains(string(page), "| `"+name+"` |") {
				t.Errorf("the page lacks %s", name)
			}
		}
	}
}

func TestMetricsArePublished(t *testing.T) {
	newHost(t)
	w := httptest.NewRecorder()
	serveMetrics(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		"fescuethread_ready 0", "fescuethread_peers_live 0",
		`fescuethread_proof_age_seconds{reads="plan"} -1`, "fescuethread_log_lines_dropped_total 0",
	} {
		if !strings.Contains(w.Body.String(), "\n"+line+"\n") {
			t.Errorf("%q is missing", line)
		}
	}
}

// freePeerPort returns a port of 127.0.0.1 that is free for both UDP and TCP: a host receives
// heartbeats and calls of other hosts on the same port number.
func freePeerPort(t *testing.T) string {
	t.Helper()
	const maxAttempts = 100
	var tcpErr error
	for range maxAttempts {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := c.LocalAddr().String()
		var l net.Listener
		l, tcpErr = net.Listen("tcp4", address)
		_ = c.Close()
		if tcpErr != nil {
			continue
		}
		_ = l.Close()
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		return port
	}
	t.Fatalf("no port is free for both UDP and TCP after %d attempts: %v", maxAttempts, tcpErr)
	return ""
}

// TestCallerKeepsItsHosts guards against callers that drop their connections at each look-up: a
// caller gets the same few hosts from every host, and only where the settings spread callers.
func TestCallerKeepsItsHosts(t *testing.T) {
	members := []announcer.Member{}
	for i := range 10 {
		members = append(members, announcer.Member{
			Name: fmt.Sprint("h", i), Zone: "a1", Region: "a", CallerAddress: fmt.Sprint("10.0.0.", i, ":1"),
			Capacity: 100,
		})
	}
	shuffled := append(append([]announcer.Member(nil), members[5:]...), members[:5]...)
	one, other := spread("10.9.9.9", "a1", members), spread("10.9.9.9", "a1", shuffled)
	if len(one) != spreader.HostsPerCaller || len(other) != len(one) {
		t.Fatalf("%d and %d hosts", len(one), len(other))
	}
	for i := range one {
		if one[i].Name != other[i].Name {
			t.Errorf("host %d is %s, and %s in another order of the list", i, one[i].Name, other[i].Name)
		}
	}
	h := newHost(t)
	for mode, want := range map[selector.Mode]bool{
		"": false, selector.ModeAuto: false, selector.ModeNever: false,
		selector.ModeAlways: true,
	} {
		h.settings.Directory.Spread = mode
		if h.spreadsCallers() != want {
			t.Errorf("mode %q: spread is %v", mode, !want)
		}
	}
}
