package registrar

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

func example(t testing.TB, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "examples", name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func mustParse(t testing.TB, text string) *Inventory {
	t.Helper()
	inv, err := Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return inv
}

func faultsOf(t testing.TB, text string) Faults {
	t.Helper()
	_, err := Parse("test.toml", []byte(text))
	var faults Faults
	if err != nil && !errors.As(err, &faults) {
		t.Fatalf("no faults in %v", err)
	}
	return faults
}

func TestExamples(t *testing.T) {
	tests := []struct {
		name                                         string
		regions, zones, hosts, links, targets, first int
		customers                                    int
	}{
		{"karoo", 3, 6, 7, 6, 34, 20, 8},
		{"batbayar", 3, 6, 7, 6, 26, 14, 8},
		{"demo", 2, 3, 4, 2, 9, 6, 3},
	}
	for _, tt := range tests {
		inv := mustParse(t, example(t, tt.name))
		first := inv.Services()[0].Name
		got := []int{len(inv.Regions()), len(inv.Zones()), len(inv.Hosts()), len(inv.Links()),
			len(inv.content.targets), len(inv.Targets(first)), len(inv.Customers())}
		want := []int{tt.regions, tt.zones, tt.hosts, tt.links, tt.targets, tt.first, tt.customers}
		for i := range want {
			if got[i] != want[i] {
				t.Errorf("%s: sizes %v, want %v", tt.name, got, want)
				break
			}
		}
		if err := inv.Check(); err != nil {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
}

func TestAccessors(t *testing.T) {
	inv := mustParse(t, example(t, "karoo"))
	target := inv.TargetsIn("saleroom", "ecape-a")[0]
	if target.Slots != 9 || target.Connections != 400 {
		t.Errorf("target %+v", target)
	}
	link, ok := inv.Link("wcape", "ecape")
	if !ok || link.BytesPerSecond != 500_000_000 || link.RTT.Milliseconds() != 35 {
		t.Errorf("link %+v", link)
	}
	if hosts := inv.HostsIn("ecape-a"); len(hosts) != 2 {
		t.Errorf("hosts %v", hosts)
	}
}

func TestFaults(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{`zone = "east-b"`, `zone = "est-b"`, `no availability zone is named "est-b"`},
		{`address = "127.0.0.1:7101"`, `address = "localhost:7101"`, "want an IP number"},
		{`peer = "127.0.0.1:7201"`, `peer = "127.0.0.1:7101"`, "is taken by hosts[0].address"},
		{`rate = "4Gbit/s"`, `rate = "4Gb"`, "want a rate with a unit"},
		{`rtt = "35ms"`, `rtt = "35"`, "want a duration with a unit"},
		{`rtt = "35ms"`, `rtt = 35`, "is an integer; want a string"},
		{`both = true`, `both = false`, "no link leads back"},
		{`timeout = "2s"`, `timeout = "2s"` + "\ntimout = \"2s\"", "unknown field; the fields are name"},
		{`slots = 9`, `slots = 0`, "want a number from 1"},
		{`slots = 9`, `slots = "9"`, "is a string; want an integer such as 1"},
		{`connections = 40`, `connections = 4`, "want one for each slot"},
		{`open = ["/public/"]`, `open = ["/"]`, "not all"},
		{`open = ["/public/"]`, `open = ["/a/../b/"]`, "want a plain path"},
		{`name = "lab"`, `name = "mill"`, `"mill" is taken by customers[0].name`},
		{`services = ["saleroom", "woolshed"]`, `services = ["salesroom"]`, `no service is named "salesroom"`},
		{`kind = "floor"`, `kind = "flor"`, "want cap, prefer, standing, floor"},
		{`share = 0.5`, `share = 1.5`, "want a number from 0 to 1"},
		{`west-a = 2 }`, `west-z = 2 }`, `no availability zone is named "west-z"`},
		{`to = "west"` + "\nrate = 100", `to = "east"` + "\nrate = 100", "same region"},
		{`block = "10.1.0.0/16"`, `block = "10.1.2.0/16"`, `write "10.1.0.0/16"`},
		{`block = "10.1.0.0/16"`, `block = "10.2.0.0/16"`, "is taken by blocks[1].block"},
		{`[[regions]]`, "[[region]]\nname = \"x\"\n[[regions]]", "unknown section"},
		{`[[regions]]`, "[regions]", "already"},
	}
	text := example(t, "demo")
	for _, tt := range tests {
		changed := strings.Replace(text, tt.old, tt.new, 1)
		if changed == text {
			t.Fatalf("%q isn't in the example", tt.old)
		}
		faults := faultsOf(t, changed)
		if len(faults) == 0 {
			t.Errorf("%q: want %q", tt.new, tt.want)
		}
		for _, f := range faults {
			if f.File != "test.toml" || f.Line == 0 || !strings.Contains(f.Message, tt.want) {
				t.Errorf("%q: another fault, or one without a line: %v", tt.new, f)
			}
		}
	}
}

func TestAllFaultsWithLines(t *testing.T) {
	text := "[[regions]]\nname = \"east\"\n\n[[zones]]\nname = \"east-a\"\nregion = \"est\"\n\n" +
		"[[hosts]]\nname = \"h1\"\nzone = \"east-a\"\naddress = \"h1.example:80\"\n" +
		"peer = \"10.0.0.1:81\"\nadmin = \"10.0.0.1:82\"\nrack = 3\n"
	faults := faultsOf(t, text)
	want := []int{1, 6, 11, 14}
	if len(faults) != len(want) {
		t.Fatalf("faults:\n%v", faults)
	}
	for i, line := range want {
		if faults[i].Line != line {
			t.Errorf("line %d, want %d: %v", faults[i].Line, line, faults[i])
		}
	}
}

func TestOpenPaths(t *testing.T) {
	service, _ := mustParse(t, example(t, "demo")).Service("woolshed")
	if !service.IsOpen("/public/reports/1") {
		t.Error("an open path needs a key")
	}
	closed := []string{"/publicity", "/public", "/public/../bids", "/public/%2e%2e/bids",
		"/public//bids", "/public/./bids", "/public/..\\bids", "/bids", ""}
	for _, path := range closed {
		if service.IsOpen(path) {
			t.Errorf("%q needs no key", path)
		}
	}
}

func TestCompare(t *testing.T) {
	text := example(t, "demo")
	old := mustParse(t, text)
	if removal := Compare(old, old); removal.IsLarge() || len(Diff(old, old)) != 0 {
		t.Errorf("no change: %v", removal)
	}
	next, err := old.WithCustomer(Customer{Name: "lab", Rate: 70, Burst: 75, Services: []string{"woolshed"}})
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Join(Diff(old, next), "\n")
	want := "~ customer lab: rate 50 -> 70\n~ customer lab: services [saleroom woolshed] -> [woolshed]"
	if lines != want {
		t.Errorf("diff:\n%s", lines)
	}
	moved := mustParse(t, strings.NewReplacer("127.0.0.1:740", "127.0.0.1:750").Replace(text))
	if removal := Compare(old, moved); strings.Join(removal.Services, " ") != "saleroom" {
		t.Errorf("most targets: %v", removal)
	}
	west := mustParse(t, strings.NewReplacer(
		`zone = "west-a"`+"\naddress = \"127.0.0.1:74", `zone = "east-a"`+"\naddress = \"127.0.0.1:74",
		"west-a = 2", "west-a = 0").Replace(text))
	if removal := Compare(old, west); strings.Join(removal.Regions, " ") != "west" {
		t.Errorf("whole region: %v", removal)
	}
}

// smallInventory is short, so that the fuzzer's minimising takes little time.
const smallInventory = `[[regions]]
name = "r"
[[zones]]
name = "a"
region = "r"
[[hosts]]
name = "h"
zone = "a"
address = "10.0.0.1:1"
peer = "10.0.0.1:2"
admin = "10.0.0.1:3"
[[services]]
name = "s"
slots = 1
connections = 1
[[upstreams]]
name = "t"
service = "s"
zone = "a"
address = "10.0.0.2:1"
`

func FuzzParse(f *testing.F) {
	f.Add([]byte(smallInventory))
	f.Add([]byte(smallInventory + "[[rules]]\nkind = \"floor\"\nshare = 0.5\n"))
	f.Add([]byte(smallInventory + "[[blocks]]\nblock = \"10.0.0.0/8\"\nzone = \"a\"\n"))
	f.Add([]byte("hosts = [{ name = \"a\" }]"))
	f.Add([]byte("[[hosts]]\nname.first = [1, {a = 2}]"))
	f.Add([]byte("[[rules]]\nkind = \"standing\"\nweights = { a = 1, b.c = 2 }\n[rules.x]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		inv, err := Parse("fuzz.toml", data)
		if err != nil {
			return
		}
		if err := inv.Check(); err != nil {
			t.Errorf("an accepted inventory fails its check: %v", err)
		}
	})
}
