package carrier

import (
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/fescuethread/fescuethread/authenticator"
	"github.com/fescuethread/fescuethread/identifier"
	"github.com/fescuethread/fescuethread/messenger"
	"github.com/fescuethread/fescuethread/timer"
)

// Work is one admitted request on its way to a target; it never holds the caller's key.
type Work struct {
	// ID names the request in logs and towards targets.
	ID string
	// Customer is the customer whose key came with the request; empty on open routes.
	Customer string
	// Digest is the digest of that key.
	Digest authenticator.Digest
	// Keys is the version of the key document that the request was admitted under.
	Keys uint64
	// Service is the service asked for.
	Service string
	// Method is the HTTP method.
	Method string
	// Path is the path and query for the target.
	Path string
	// Header holds the caller's header fields.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Operation is the token of non-idempotent work.
	Operation string
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Deadline is the instant after which nobody waits for the answer.
	Deadline timer.Instant
	// Hops counts the hosts that passed the request on.
	Hops uint32
	// Origin is the host that the caller sent the request to.
	Origin string
	// Sender is the availability zone of the host that passed the request on; empty for a caller.
	Sender string
	// Zone is the availability zone whose targets a peer asks for; empty means its own.
	Zone string
}

// digestSize is the size of a fingerprint.
const digestSize = sha256.Size

// fingerprint binds an operation identity to the path and body that came with it.
func (w Work) fingerprint() [digestSize]byte {
	h := sha256.New()
	h.Write([]byte(w.Path))
	h.Write([]byte{0})
	h.Write(w.Body)
	var sum [digestSize]byte
	h.Sum(sum[:0])
	return sum
}

func (w Work) identity() identifier.Work {
	return identifier.Work{Customer: w.Customer, Service: w.Service, Method: w.Method}
}

func (w Work) left(now timer.Instant) time.Duration {
	return w.Deadline.Sub(now)
}

// toRequest encodes the work for a peer.
func (w Work) toRequest(now timer.Instant, role messenger.Role) *messenger.Request {
	return &messenger.Request{
		Role:      role,
		Id:        w.ID,
		Customer:  w.Customer,
		Digest:    w.Digest[:],
		Keys:      w.Keys,
		Service:   w.Service,
		Method:    w.Method,
		Path:      w.Path,
		Headers:   toHeaders(w.Header),
		Body:      w.Body,
		Operation: w.Operation,
		Budget:    uint64(max(w.left(now), 0).Microseconds()),
		Hops:      w.Hops + 1,
		Origin:    w.Origin,
		Sender:    w.Sender,
		Zone:      w.Zone,
	}
}

// fromRequest decodes work that a peer passes on.
func fromRequest(now timer.Instant, in *messenger.Request, idempotent bool) Work {
	// A digest that does not parse stays zero, which no ring has granted.
	digest, _ := authenticator.DigestFrom(in.GetDigest())
	budget := min(in.GetBudget(), uint64(longestBudget.Microseconds()))
	return Work{
		ID:         in.GetId(),
		Customer:   in.GetCustomer(),
		Digest:     digest,
		Keys:       in.GetKeys(),
		Service:    in.GetService(),
		Method:     in.GetMethod(),
		Path:       in.GetPath(),
		Header:     fromHeaders(in.GetHeaders()),
		Body:       in.GetBody(),
		Operation:  in.GetOperation(),
		Idempotent: idempotent,
		Deadline:   now.Add(time.Duration(budget) * time.Microsecond),
		Hops:       in.GetHops(),
		Origin:     in.GetOrigin(),
		Sender:     in.GetSender(),
		Zone:       in.GetZone(),
	}
}

// longestBudget bounds the time that a peer may ask for.
const longestBudget = 10 * time.Minute

func toHeaders(h http.Header) []*messenger.Header {
	out := make([]*messenger.Header, 0, len(h))
	for name, values := range h {
		for _, value := range values {
			out = append(out, &messenger.Header{Name: name, Value: value})
		}
	}
	return out
}

func fromHeaders(in []*messenger.Header) http.Header {
	h := make(http.Header, len(in))
	for _, f := range in {
		h[f.GetName()] = append(h[f.GetName()], f.GetValue())
	}
	return h
}

// toReply encodes a result for a peer or for the operation registry.
func (r Result) toReply(id string) *messenger.Reply {
	return &messenger.Reply{
		Id:      id,
		Outcome: r.Outcome,
		Status:  uint32(r.Status),
		Headers: toHeaders(r.Header),
		Body:    r.Body,
		Reason:  string(r.Reason),
		Target:  r.Target,
		Host:    r.Host,
		Renewed: r.Renewed,
		Retry:   uint64(r.Retry.Milliseconds()),
	}
}

func fromReply(in *messenger.Reply) Result {
	return Result{
		Outcome: in.GetOutcome(),
		Status:  int(in.GetStatus()),
		Header:  fromHeaders(in.GetHeaders()),
		Body:    in.GetBody(),
		Reason:  Reason(in.GetReason()),
		Target:  in.GetTarget(),
		Host:    in.GetHost(),
		Renewed: in.GetRenewed(),
		Retry:   time.Duration(in.GetRetry()) * time.Millisecond,
	}
}
