package carrier

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/fescuethread/fescuethread/identifier"
)

// issued is the answer to a caller who asks for an operation identity.
type issued struct {
	Operation string `json:"operation"`
	Host      string `json:"host"`
}

// serveIssue issues the identity of one non-idempotent request.
func (c *Carrier) serveIssue(w http.ResponseWriter, r *http.Request) {
	id := c.newID()
	work, refused, ok := c.readIssue(r, id)
	if !ok {
		c.write(w, id, refused)
		return
	}
	token, err := c.parts.Registry.Issue(c.now(), work.identity())
	if err != nil {
		c.write(w, id, issueRefused(err))
		return
	}
	body := toJSON(issued{Operation: token, Host: c.cfg.Host})
	result := answered(http.StatusCreated, body)
	c.write(w, id, result)
}

func (c *Carrier) readIssue(r *http.Request, id string) (Work, Result, bool) {
	q := r.URL.Query()
	w := Work{ID: id, Service: q.Get("service"), Method: q.Get("method")}
	if r.Method != http.MethodPost || w.Method == "" {
		return w, notRun(http.StatusBadRequest, ReasonMalformed), false
	}
	s := c.parts.Configuration.Snapshot()
	if s == nil {
		return w, notRun(http.StatusServiceUnavailable, ReasonNotReady), false
	}
	service, ok := s.Inventory.Service(w.Service)
	if !ok {
		return w, notRun(http.StatusNotFound, ReasonService), false
	}
	return c.identify(w, r, s, service, "/")
}

func issueRefused(err error) Result {
	var e *identifier.Error
	if errors.As(err, &e) && e.Kind == identifier.KindMalformed {
		return notRun(http.StatusBadRequest, ReasonMalformed)
	}
	return notRun(http.StatusServiceUnavailable, ReasonCapacity)
}
