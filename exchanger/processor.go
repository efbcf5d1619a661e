package exchanger

import (
	"net/http"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
)

// OnMethod implements nbhttp.Processor.
func (c *call) OnMethod(*nbhttp.Parser, string) {}

// OnURL implements nbhttp.Processor.
func (c *call) OnURL(*nbhttp.Parser, string) error { return nil }

// OnTrailerHeader implements nbhttp.Processor.
func (c *call) OnTrailerHeader(*nbhttp.Parser, string, string) {
	c.fail(errors.WithMessage(ErrUnsupported, "trailer fields"))
}

// Close implements nbhttp.Processor.
func (c *call) Close(*nbhttp.Parser, error) {}

// Clean implements nbhttp.Processor.
func (c *call) Clean(*nbhttp.Parser) {}

// OnBody implements nbhttp.Processor; the parser gets no bodies.
func (c *call) OnBody(*nbhttp.Parser, []byte) error { return ErrUnsolicited }

// OnComplete implements nbhttp.Processor.
func (c *call) OnComplete(*nbhttp.Parser) {
	c.endHead()
	if c.finished {
		return
	}
	if c.response.Status < http.StatusOK {
		c.skipInterim()
		return
	}
	if !c.closeDelimited {
		c.complete()
	}
}
