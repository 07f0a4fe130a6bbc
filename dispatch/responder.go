package dispatch

import (
	"net/http"

	"github.com/primrosemoor/primrosemoor/schema"
)

// responder writes an answer to the caller and keeps a bounded copy of it for
// the ledger. When the caller is gone it only keeps the copy.
type responder struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	// status is the status sent; 0 before the header.
	status      int
	contentType string
	gone        bool

	keep     bool
	limit    int
	copied   []byte
	overflow bool
}

func newResponder(w http.ResponseWriter, keep bool, limit int) *responder {
	return &responder{
		writer:  w,
		control: http.NewResponseController(w),
		keep:    keep,
		limit:   limit,
	}
}

// start sends the header.
func (p *responder) start(status int, header http.Header) {
	p.status = status
	p.contentType = header.Get("Content-Type")
	to := p.writer.Header()
	for name, values := range header {
		to[name] = values
	}
	if !p.gone {
		p.writer.WriteHeader(status)
	}
}

// write sends a piece of the body.
func (p *responder) write(piece []byte) {
	p.copy(piece)
	if p.gone {
		return
	}
	if _, err := p.writer.Write(piece); err != nil {
		p.gone = true
	}
}

func (p *responder) flush() {
	if p.gone {
		return
	}
	if err := p.control.Flush(); err != nil {
		p.gone = true
	}
}

func (p *responder) copy(piece []byte) {
	if !p.keep || p.overflow {
		return
	}
	if len(p.copied)+len(piece) > p.limit {
		p.overflow = true
		p.copied = nil
		return
	}
	p.copied = append(p.copied, piece...)
}

// stored returns the answer for the ledger, or nil if it was too large.
func (p *responder) stored() *schema.StoredOutcome {
	if p.overflow || !p.keep {
		return nil
	}
	return &schema.StoredOutcome{
		Status:      uint32(p.status),
		ContentType: p.contentType,
		Body:        p.copied,
	}
}
