package identifier

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/fescuethread/fescuethread/timer"
)

const (
	// MaxTokenBytes bounds the text of a token.
	MaxTokenBytes = 1024

	tokenVersion = 1
	// keyBytes is the size of an owner's signing key.
	keyBytes = 32
	// macBytes is the size that the HMAC-SHA-256 of a token is truncated to.
	macBytes = 16
)

var encoding = base64.RawURLEncoding.Strict()

// Work names what an identity may be used for.
type Work struct {
	// Customer is the customer that the identity was issued to.
	Customer string
	// Service is the service that the operation belongs to.
	Service string
	// Method is the operation's HTTP method.
	Method string
}

// Owner names the only process that may run an operation.
type Owner struct {
	// Host is the owner's name.
	Host string `json:"host"`
	// Incarnation tells apart the processes that ran under the name; no two may share it.
	Incarnation uint64 `json:"incarnation"`
}

// Identity is the content of a token.
type Identity struct {
	// Owner is the process that issued the token.
	Owner Owner
	// Work is what the token was issued for.
	Work Work
	// Expiry is the instant on the owner's clock from which the token is refused.
	Expiry timer.Instant
	// Number tells apart the identities of one owner.
	Number uint64
	// Generation counts the refused runs that went before.
	Generation uint64
}

// Parse reads a token without verifying its signature.
func Parse(token string) (Identity, error) {
	payload, _, err := split(token)
	if err != nil {
		return Identity{}, err
	}
	return decode(payload)
}

func split(token string) (payload, mac []byte, err error) {
	if len(token) > MaxTokenBytes || strings.ContainsAny(token, "\r\n") {
		return nil, nil, malformed(errors.New("not the text of a token"))
	}
	raw, err := encoding.DecodeString(token)
	if err != nil {
		return nil, nil, malformed(errors.Wrap(err, "decode base64"))
	}
	if len(raw) <= macBytes {
		return nil, nil, malformed(errors.New("too short"))
	}
	cut := len(raw) - macBytes
	return raw[:cut], raw[cut:], nil
}

func encode(id Identity) []byte {
	b := make([]byte, 0, MaxTokenBytes/4)
	b = append(b, tokenVersion)
	b = protowire.AppendString(b, id.Owner.Host)
	b = protowire.AppendVarint(b, id.Owner.Incarnation)
	b = protowire.AppendString(b, id.Work.Customer)
	b = protowire.AppendString(b, id.Work.Service)
	b = protowire.AppendString(b, id.Work.Method)
	b = protowire.AppendVarint(b, uint64(id.Expiry))
	b = protowire.AppendVarint(b, id.Number)
	return protowire.AppendVarint(b, id.Generation)
}

func decode(payload []byte) (Identity, error) {
	if payload[0] != tokenVersion {
		return Identity{}, malformed(errors.Errorf("version %d", payload[0]))
	}
	d := decoder{rest: payload[1:]}
	var id Identity
	id.Owner.Host = d.text()
	id.Owner.Incarnation = d.varint()
	id.Work.Customer = d.text()
	id.Work.Service = d.text()
	id.Work.Method = d.text()
	id.Expiry = timer.Instant(d.varint())
	id.Number = d.varint()
	id.Generation = d.varint()
	if d.failed || len(d.rest) != 0 {
		return Identity{}, malformed(errors.New("fields do not parse"))
	}
	return id, nil
}

// decoder consumes fields in order; after a failure it yields zero values.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) varint() uint64 {
	v, n := protowire.ConsumeVarint(d.rest)
	d.advance(n)
	return v
}

func (d *decoder) text() string {
	v, n := protowire.ConsumeString(d.rest)
	d.advance(n)
	return v
}

func (d *decoder) advance(n int) {
	if n < 0 {
		d.failed = true
		d.rest = nil
		return
	}
	d.rest = d.rest[n:]
}

func sign(key []byte, id Identity) (string, error) {
	payload := encode(id)
	raw := append(payload, authenticate(key, payload)...)
	token := encoding.EncodeToString(raw)
	if len(token) > MaxTokenBytes {
		return "", malformed(errors.New("names too long for a token"))
	}
	return token, nil
}

func verify(key, payload, mac []byte) bool {
	return hmac.Equal(authenticate(key, payload), mac)
}

func authenticate(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}

func malformed(err error) error {
	return &Error{Op: "parse", Kind: KindMalformed, Err: err}
}
