package targeter_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fescuethread/fescuethread/standin/targeter"
)

func start(t *testing.T, cfg targeter.Config) (*targeter.Target, string) {
	t.Helper()
	target := targeter.New(cfg)
	server := httptest.NewServer(target)
	t.Cleanup(server.Close)
	return target, server.URL
}

func post(t *testing.T, url, body string, header ...string) (*http.Response, []byte, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp, b, err
}

func TestAnswerDescribesRequest(t *testing.T) {
	target, url := start(t, targeter.Config{Name: "t1", Slots: 2})
	for range 2 {
		resp, b, err := post(t, url+"/bids?x=1", "wool",
			targeter.RequestHeader, "r1", targeter.OperationHeader, "o1")
		var a targeter.Answer
		if err != nil || json.Unmarshal(b, &a) != nil {
			t.Fatalf("%s, %v", b, err)
		}
		if a.Target != "t1" || a.Path != "/bids" || a.Query != "x=1" || a.BodyBytes != 4 ||
			a.Headers.Get(targeter.OperationHeader) != "o1" ||
			resp.Header.Get(targeter.RequestHeader) != "r1" {
			t.Fatalf("%+v", a)
		}
	}
	if r := target.Runs(); r.Total != 2 || r.Operations[0] != (targeter.Operation{ID: "o1", Runs: 2}) {
		t.Fatalf("%+v", r)
	}
}

func TestFaultsBreakAnswers(t *testing.T) {
	for fault, want := range map[targeter.Fault]func(*http.Response, error) bool{
		targeter.FaultTruncate: func(_ *http.Response, err error) bool { return err == io.ErrUnexpectedEOF },
		targeter.FaultClose:    func(_ *http.Response, err error) bool { return err != nil },
		targeter.FaultCrossed: func(r *http.Response, _ error) bool {
			return r.Header.Get(targeter.RequestHeader) == "other-r1"
		},
		targeter.FaultShed: func(r *http.Response, _ error) bool {
			return r.StatusCode == 503 && r.Header.Get("Retry-After") != ""
		},
		targeter.FaultFail:     func(r *http.Response, _ error) bool { return r.StatusCode == 500 },
		targeter.FaultOversize: func(r *http.Response, _ error) bool { return r.ContentLength != 0 },
		targeter.FaultTwice:    func(r *http.Response, err error) bool { return err == nil },
	} {
		target, url := start(t, targeter.Config{})
		if err := target.SetBehavior(targeter.Behavior{Fault: fault, Count: 1, AnswerBytes: 9}); err != nil {
			t.Fatal(err)
		}
		if resp, b, err := post(t, url, "", targeter.RequestHeader, "r1"); !want(resp, err) {
			t.Errorf("%s: %v, %s, %v", fault, resp, b, err)
		}
		if resp, _, err := post(t, url, ""); err != nil || resp.StatusCode != 200 {
			t.Errorf("%s outlasted its count: %v", fault, err)
		}
	}
}

func TestDeadlineEndsRun(t *testing.T) {
	target, url := start(t, targeter.Config{Latency: time.Hour})
	resp, _, err := post(t, url, "", targeter.DeadlineHeader, "1")
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout || target.Runs().Expired != 1 {
		t.Fatalf("%v, %+v", err, target.Runs())
	}
}

func TestCrashOnBody(t *testing.T) {
	crashed := make(chan struct{}, 1)
	target, url := start(t, targeter.Config{Crash: func() { crashed <- struct{}{} }})
	if err := target.SetBehavior(targeter.Behavior{Crash: "poison"}); err != nil {
		t.Fatal(err)
	}
	if _, _, err := post(t, url, "a poisoned lot"); err == nil || len(crashed) != 1 {
		t.Fatalf("%v, crashes %d", err, len(crashed))
	}
}

func TestHealthCanLie(t *testing.T) {
	target, url := start(t, targeter.Config{})
	for body, want := range map[string]int{
		`{"fault":"fail"}`:                  503,
		`{"fault":"fail","health":"ready"}`: 200,
		`{"draining":true}`:                 503,
	} {
		if resp, _, err := post(t, url+"/control", body); err != nil || resp.StatusCode != 200 {
			t.Fatal(err)
		}
		resp, err := http.Get(url + "/health")
		if err != nil || resp.StatusCode != want {
			t.Errorf("%s: %v, %v", body, resp, err)
		}
		_ = resp.Body.Close()
	}
	if err := target.SetBehavior(targeter.Behavior{Fault: "sings"}); err == nil {
		t.Error("an unknown fault was taken")
	}
}
