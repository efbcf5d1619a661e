package prover

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// pollPeriod is the time between two looks at a condition that other processes bring about.
const pollPeriod = 20 * time.Millisecond

var binaries string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fescuethread")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "..", "../standin/platform", "../standin/target")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s\n", err, out)
		return 1
	}
	return m.Run()
}

// process is one running program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}

	mu    sync.Mutex
	lines []string
}

func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binaries, name), args...), done: make(chan struct{})}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	logs, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var readers sync.WaitGroup
	readers.Add(2)
	go p.read(&readers, out)
	go p.read(&readers, logs)
	go func() {
		readers.Wait()
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("%s %v:\n%s", name, args, p.tail())
		}
	})
	return p
}

func (p *process) read(wg *sync.WaitGroup, r io.Reader) {
	defer wg.Done()
	s := bufio.NewScanner(r)
	for s.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, s.Text())
		p.mu.Unlock()
	}
}

func (p *process) contains(text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.lines {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}

func (p *process) tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	const most = 6
	return strings.Join(p.lines[max(0, len(p.lines)-most):], "\n")
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// zoneSpec describes an availability zone of a test fleet.
type zoneSpec struct {
	name    string
	region  string
	hosts   int
	targets int
}

// fleetSpec describes a test fleet.
type fleetSpec struct {
	zones []zoneSpec
	rate  int
	burst int
	slots int
	// latency is the time that a target takes.
	latency time.Duration
}

// host is one entry host of a test fleet.
type host struct {
	*process
	name, zone          string
	caller, peer, admin string
	// ip is the address that the host's connections to peers come from.
	ip string
	// listen is where it listens for peers, behind the relay at peer.
	listen string
	// platform is its relay to the platform.
	platform string
	config   string
}

// fleet is a system under test.
type fleet struct {
	t         *testing.T
	spec      fleetSpec
	dir       string
	client    *http.Client
	platform  string
	hosts     []*host
	targets   []string
	targetPs  []*process
	key       string
	inventory string
	taken     map[string]bool
	network   *network
}

const service = "saleroom"

func newFleet(t *testing.T, spec fleetSpec) *fleet {
	t.Helper()
	f := &fleet{t: t, spec: spec, dir: t.TempDir(), client: &http.Client{Timeout: 20 * time.Second}, taken: make(map[string]bool), network: newNetwork()}
	t.Cleanup(f.client.CloseIdleConnections)
	t.Cleanup(f.network.close)
	f.platform = f.freeAddress()
	startProcess(t, "platform", "--listen", f.platform)
	f.eventually("the platform listens", func() bool {
		resp, err := f.client.Get("http://" + f.platform + "/v1/hosts")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return true
	})
	f.inventory = f.writeInventory()
	f.run("apply", f.inventory)
	f.key = strings.TrimSpace(f.run("keys", "grant", "mill"))
	for _, h := range f.hosts {
		f.startHost(h)
	}
	for _, h := range f.hosts {
		f.awaitReady(h)
	}
	return f
}

func (f *fleet) freeAddress() string {
	f.t.Helper()
	return f.freeAddressOn("127.0.0.1")
}

func (f *fleet) freeAddressOn(ip string) string {
	f.t.Helper()
	for {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			f.t.Fatal(err)
		}
		address := l.Addr().String()
		_ = l.Close()
		if !f.taken[address] {
			f.taken[address] = true
			return address
		}
	}
}

func (f *fleet) writeInventory() string {
	f.t.Helper()
	var b strings.Builder
	regions := make(map[string]bool)
	for _, z := range f.spec.zones {
		if !regions[z.region] {
			fmt.Fprintf(&b, "[[regions]]\nname = %q\n", z.region)
		}
		regions[z.region] = true
	}
	for _, z := range f.spec.zones {
		fmt.Fprintf(&b, "[[zones]]\nname = %q\nregion = %q\n", z.name, z.region)
	}
	for from := range regions {
		for to := range regions {
			if from < to {
				fmt.Fprintf(&b, "[[links]]\nfrom = %q\nto = %q\nrate = \"4Gbit/s\"\nrtt = \"5ms\"\nboth = true\n", from, to)
			}
		}
	}
	fmt.Fprintf(&b, "[[services]]\nname = %q\nidempotent = [\"GET\"]\nopen = [\"/public/\"]\n"+
		"timeout = \"3s\"\nslots = %d\nconnections = 40\nqueue = 64\n", service, f.spec.slots)
	for _, z := range f.spec.zones {
		f.addHosts(&b, z)
		f.addTargets(&b, z)
	}
	for _, c := range []string{"mill", "grower"} {
		fmt.Fprintf(&b, "[[customers]]\nname = %q\nrate = %d\nburst = %d\nservices = [%q]\n",
			c, f.spec.rate, f.spec.burst, service)
	}
	path := filepath.Join(f.dir, "inventory.toml")
	if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

func (f *fleet) addHosts(b *strings.Builder, z zoneSpec) {
	for i := range z.hosts {
		h := &host{
			name:   fmt.Sprintf("%s-%d", z.name, i+1),
			zone:   z.name,
			caller: f.freeAddress(),
			admin:  f.freeAddress(),
		}
		h.ip = fmt.Sprintf("127.0.1.%d", len(f.hosts)+1)
		h.listen = f.freeAddressOn(h.ip)
		h.peer = f.network.relay(f.t, "127.0.0.1:0", h.ip, h.listen)
		h.platform = f.network.relayFrom(f.t, h.ip, platformIP, f.platform)
		f.hosts = append(f.hosts, h)
		fmt.Fprintf(b, "[[hosts]]\nname = %q\nzone = %q\naddress = %q\npeer = %q\nadmin = %q\n",
			h.name, h.zone, h.caller, h.peer, h.admin)
	}
}

func (f *fleet) addTargets(b *strings.Builder, z zoneSpec) {
	for i := range z.targets {
		address := f.freeAddress()
		name := fmt.Sprintf("%s-target-%d", z.name, i+1)
		f.targets = append(f.targets, address)
		f.targetPs = append(f.targetPs, startProcess(f.t, "target", "--listen", address, "--name", name,
			"--slots", fmt.Sprint(f.spec.slots), "--latency", f.spec.latency.String()))
		fmt.Fprintf(b, "[[upstreams]]\nname = %q\nservice = %q\nzone = %q\naddress = %q\nwarmup = \"0s\"\n",
			name, service, z.name, address)
	}
}

func (f *fleet) startHost(h *host) {
	f.t.Helper()
	h.config = filepath.Join(f.dir, h.name+".toml")
	text := fmt.Sprintf("[host]\nname = %q\nzone = %q\n[listen]\ncaller = %q\npeer = %q\nadmin = %q\n"+
		"[platform]\naddress = %q\nwatch = \"500ms\"\n[peers]\nseeds = [%q]\n[callers]\nlifetime = \"1s\"\n"+
		"[keys]\nbound = \"5s\"\n",
		h.name, h.zone, h.caller, h.listen, h.admin, h.platform, f.hosts[0].peer)
	if err := os.WriteFile(h.config, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	h.process = startProcess(f.t, "fescuethread", "serve", "--config", h.config)
}

func (f *fleet) awaitReady(h *host) {
	f.t.Helper()
	f.eventually(h.name+" is ready", func() bool {
		resp, err := f.client.Get("http://" + h.admin + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// eventually waits for a condition that other processes bring about.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			f.t.Fatalf("gave up waiting until %s", what)
		case <-ticker.C:
		}
	}
}

// run runs an operators' command against the platform and returns its output.
func (f *fleet) run(args ...string) string {
	f.t.Helper()
	out, err := f.command(args...)
	if err != nil {
		f.t.Fatalf("%v: %v", args, err)
	}
	return out
}

func (f *fleet) command(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(binaries, "fescuethread"), append([]string{"--platform", f.platform}, args...)...)
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		return string(out), fmt.Errorf("%w: %s", err, stderr.String())
	}
	return string(out), nil
}

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
