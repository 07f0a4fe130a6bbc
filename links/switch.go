package links

import (
	"context"
	"net/http"

	"github.com/primrosemoor/primrosemoor/upstream"
)

// Switch sends requests over this node's own links, or through other nodes while it has
// none to the targets of the service.
type Switch struct {
	Own, Others Sender
	// Monitor returns the monitor of the links to a target and those like it.
	Monitor func(target string) *Monitor
}

// Send sends the request.
func (s *Switch) Send(ctx context.Context, to upstream.Address, r *upstream.Request) (*http.Response, error) {
	if s.Monitor(to.ID).Linked() {
		return s.Own.Send(ctx, to, r)
	}
	return s.Others.Send(ctx, to, r)
}
