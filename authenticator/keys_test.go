package authenticator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// testKey returns a well-formed key that depends on its number only.
func testKey(n int) string {
	return KeyPrefix + fmt.Sprintf("%042dA", n)
}

// history is a document, its keys by state, and the rings of all its versions.
type history struct {
	document  *Document
	customers map[int]string
	withdrawn map[int]uint64
	rings     []*Ring
	next      int
}

func (h *history) accept(t *rapid.T, d *Document, err error) {
	if err != nil {
		t.Fatal(err)
	}
	data, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if h.document, err = ParseDocument(data); err != nil {
		t.Fatal(err)
	}
	h.rings = append(h.rings, NewRing(h.document, uint64(len(h.rings))))
}

func (h *history) grant(t *rapid.T) {
	customer := rapid.SampledFrom([]string{"mill", "grower"}).Draw(t, "customer")
	d, err := h.document.WithGrant(DigestOf(testKey(h.next)), customer)
	h.accept(t, d, err)
	h.customers[h.next] = customer
	h.next++
}

func (h *history) draw(t *rapid.T) int {
	if h.next == 0 {
		t.Skip("no key yet")
	}
	return rapid.IntRange(0, h.next-1).Draw(t, "key")
}

func (h *history) withdraw(t *rapid.T) {
	key := h.draw(t)
	d, err := h.document.WithWithdrawal(DigestOf(testKey(key)))
	h.accept(t, d, err)
	if _, ok := h.withdrawn[key]; !ok {
		h.withdrawn[key] = uint64(len(h.rings) - 1)
	}
}

func (h *history) rotate(t *rapid.T) {
	key := h.draw(t)
	d, err := h.document.WithRotation(DigestOf(testKey(key)), DigestOf(testKey(h.next)))
	if _, ok := h.withdrawn[key]; ok {
		if kindOf(err) != KindWithdrawn {
			t.Fatalf("a withdrawn key was rotated: %v", err)
		}
		return
	}
	h.accept(t, d, err)
	h.customers[h.next] = h.customers[key]
	h.next++
}

func (h *history) regrant(t *rapid.T) {
	_, err := h.document.WithGrant(DigestOf(testKey(h.draw(t))), "mill")
	if err == nil {
		t.Fatal("a listed key was granted again")
	}
}

func (h *history) check(t *rapid.T) {
	ring := h.rings[len(h.rings)-1]
	for key := range h.next {
		digest := DigestOf(testKey(key))
		version, gone := h.withdrawn[key]
		grant, err := ring.Verify(testKey(key))
		if gone && (kindOf(err) != KindWithdrawn || ring.Granted(digest)) {
			t.Fatalf("key %d works at version %d, withdrawn at %d", key, ring.Version(), version)
		}
		if !gone && (err != nil || grant.Customer != h.customers[key]) {
			t.Fatalf("key %d of %s: %+v, %v", key, h.customers[key], grant, err)
		}
		h.checkAdmits(t, key, digest)
	}
}

// checkAdmits checks requests that a peer admitted under each older version.
func (h *history) checkAdmits(t *rapid.T, key int, digest Digest) {
	version, gone := h.withdrawn[key]
	for _, receiver := range h.rings {
		if gone && receiver.Version() >= version && receiver.Admits(digest, h.customers[key], 1<<32) {
			t.Fatalf("key %d passes by a peer's claim of newer keys", key)
		}
		for _, sender := range h.rings {
			if !sender.Granted(digest) {
				continue
			}
			admits := receiver.Admits(digest, h.customers[key], sender.Version())
			if gone && receiver.Version() >= version && admits {
				t.Fatalf("key %d passes at version %d, withdrawn at %d",
					key, receiver.Version(), version)
			}
			if receiver.Granted(digest) && (!admits || receiver.Admits(digest, "other", sender.Version())) {
				t.Fatalf("key %d is bound to the wrong customer", key)
			}
		}
	}
}

func TestWithdrawnKeyNeverWorks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{
			document:  &Document{},
			customers: make(map[int]string),
			withdrawn: make(map[int]uint64),
		}
		h.accept(t, h.document, nil)
		actions := map[string]func(*rapid.T){
			"grant": h.grant, "withdraw": h.withdraw, "rotate": h.rotate, "regrant": h.regrant,
			"": h.check,
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			names := []string{"grant", "withdraw", "rotate", "regrant"}
			name := rapid.SampledFrom(names).Draw(t, "action")
			if h.next == 0 {
				name = "grant"
			}
			actions[name](t)
			actions[""](t)
		}
	})
}

func TestKeysAndErrors(t *testing.T) {
	key, err := Generate()
	if err != nil {
		t.Fatal(err)
	}
	d, err := (&Document{}).WithGrant(DigestOf(key), "mill")
	if err != nil {
		t.Fatal(err)
	}
	ring := NewRing(d, 1)
	if grant, err := ring.Verify(key); err != nil || grant.Digest != DigestOf(key) {
		t.Fatalf("%+v, %v", grant, err)
	}
	flipped := []byte(key)
	flipped[10] ^= 1
	last := key[:len(key)-1] + "_"
	bad := []string{"", key[1:], key + "A", key + "\n", strings.ToUpper(key), string(flipped), last}
	for _, text := range bad {
		_, err := ring.Verify(text)
		if err == nil {
			t.Errorf("a wrong key works")
		}
		if len(text) > 0 && strings.Contains(err.Error(), text) {
			t.Errorf("the error shows the key")
		}
	}
	if err := d.CheckCustomers(func(string) bool { return false }); kindOf(err) != KindCustomer {
		t.Errorf("unknown customer: %v", err)
	}
}

func TestDocumentFaults(t *testing.T) {
	digest := DigestOf("x").String()
	good := fmt.Sprintf(`{"digest":%q,"customer":"mill","state":"granted"}`, digest)
	tests := map[string]string{
		good:                                     "",
		good + "," + good:                        "listed twice",
		strings.Replace(good, digest, "ab", 1):   "want 32",
		strings.Replace(good, `"mill"`, `""`, 1): "customer is missing",
		strings.Replace(good, "granted", "paused", 1):  "want granted, retiring or withdrawn",
		strings.Replace(good, "customer", "client", 1): "unknown field",
	}
	for entries, want := range tests {
		_, err := ParseDocument([]byte(`{"keys":[` + entries + `]}`))
		if (err != nil) != (want != "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", entries, err, want)
		}
	}
	if _, err := ParseDocument([]byte(`{"keys":[]} {}`)); kindOf(err) != KindDocument {
		t.Errorf("text after the end: %v", err)
	}
}
