package prover

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
)

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	reason  string
	renewed string
	body    string
	err     error
}

func (f *fleet) call(method, address, path, key, operation, body string) answer {
	r, err := http.NewRequest(method, "http://"+address+"/v1/services/"+service+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	if key != "" {
		r.Header.Set("Fescuethread-Key", key)
	}
	if operation != "" {
		r.Header.Set("Fescuethread-Operation", operation)
	}
	resp, err := f.client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return answer{
		status:  resp.StatusCode,
		outcome: resp.Header.Get("Fescuethread-Outcome"),
		reason:  resp.Header.Get("Fescuethread-Reason"),
		renewed: resp.Header.Get("Fescuethread-Operation"),
		body:    string(data),
		err:     err,
	}
}

func (f *fleet) get(h *host, path string) answer {
	return f.call(http.MethodGet, h.caller, path, f.key, "", "")
}

// issue asks a host for an operation identity.
func (f *fleet) issue(h *host) string {
	f.t.Helper()
	url := "http://" + h.caller + "/v1/operations?method=POST&service=" + service
	r, err := http.NewRequest(http.MethodPost, url, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header.Set("Fescuethread-Key", f.key)
	resp, err := f.client.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var issued struct {
		Operation string `json:"operation"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&issued); err != nil || issued.Operation == "" {
		f.t.Fatalf("status %d, %v", resp.StatusCode, err)
	}
	return issued.Operation
}

// faults sets what goes wrong at the platform.
func (f *fleet) faults(text string) {
	f.t.Helper()
	f.post("http://"+f.platform+"/control/faults", text)
}

// behave sets how a target misbehaves.
func (f *fleet) behave(target, text string) {
	f.t.Helper()
	f.post("http://"+target+"/control", text)
}

func (f *fleet) post(url, text string) {
	f.t.Helper()
	resp, err := f.client.Post(url, "application/json", strings.NewReader(text))
	if err != nil {
		f.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		f.t.Fatalf("%s: status %d", url, resp.StatusCode)
	}
}

// runs is what a target counted.
type runs struct {
	Total      int `json:"total"`
	Peak       int `json:"peak"`
	Operations []struct {
		ID   string `json:"id"`
		Runs int    `json:"runs"`
	} `json:"operations"`
}

func (f *fleet) runsOf(target string) runs {
	f.t.Helper()
	resp, err := f.client.Get("http://" + target + "/control/runs")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var r runs
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
		f.t.Fatal(err)
	}
	return r
}

// atMostOnce fails when an operation ran twice, over all targets that still answer.
func (f *fleet) atMostOnce() int {
	f.t.Helper()
	total := make(map[string]int)
	for _, target := range f.targets {
		for _, o := range f.runsOf(target).Operations {
			total[o.ID] += o.Runs
		}
	}
	for name, n := range total {
		if n > 1 {
			f.t.Errorf("operation %s ran %d times", name, n)
		}
	}
	return len(total)
}

// lookup returns the first entry host for a place, asked of any host that answers.
func (f *fleet) lookup(place string) string {
	for _, h := range f.hosts {
		resp, err := f.client.Get("http://" + h.caller + "/v1/lookup?service=" + service + "&place=" + place)
		if err != nil {
			continue
		}
		var found struct {
			Hosts []struct {
				Address string `json:"address"`
			} `json:"hosts"`
		}
		err = json.NewDecoder(resp.Body).Decode(&found)
		_ = resp.Body.Close()
		if err == nil && len(found.Hosts) > 0 {
			return found.Hosts[0].Address
		}
	}
	return ""
}

// list puts a host into the platform's list of hosts.
func (f *fleet) list(name, state string) {
	f.t.Helper()
	r, err := http.NewRequest(http.MethodPut, "http://"+f.platform+"/v1/hosts/"+name, strings.NewReader(state))
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := f.client.Do(r)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		f.t.Fatalf("listing %s: status %d", name, resp.StatusCode)
	}
}

// calls is what the platform counted.
type calls struct {
	Reads int `json:"reads"`
}

func (f *fleet) calls() calls {
	f.t.Helper()
	var c calls
	resp, err := f.client.Get("http://" + f.platform + "/control/calls")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&c); err != nil {
		f.t.Fatal(err)
	}
	return c
}

// withoutHost writes the inventory without a host.
func (f *fleet) withoutHost(h *host) string {
	f.t.Helper()
	data, err := os.ReadFile(f.inventory)
	if err != nil {
		f.t.Fatal(err)
	}
	text := string(data)
	start := strings.Index(text, fmt.Sprintf("[[hosts]]\nname = %q", h.name))
	end := start + strings.Index(text[start+1:], "[[") + 1
	path := filepath.Join(f.dir, "without.toml")
	if err := os.WriteFile(path, []byte(text[:start]+text[end:]), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// rateOf returns a host's share of an account's rate.
func (f *fleet) rateOf(h *host, account string) float64 {
	out, err := f.command("status", "--admin", h.admin, "--output", "json")
	if err != nil {
		return 0
	}
	var status struct {
		Accounts []struct {
			Name string  `json:"name"`
			Rate float64 `json:"rate"`
		} `json:"accounts"`
	}
	if json.Unmarshal([]byte(out), &status) != nil {
		return 0
	}
	for _, a := range status.Accounts {
		if a.Name == account {
			return a.Rate
		}
	}
	return 0
}
