package links

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/primrosemoor/primrosemoor/upstream"
)

// silenceTimeout is the time without a byte from any target of a service after which an attempt makes
// the links suspect.
const silenceTimeout = 500 * time.Millisecond

// ErrTargetCrashed is wrapped by the failure of a request whose target has crashed, as the
// node that sent it found.
var ErrTargetCrashed = errors.New("links: the target refuses connections since then")

// ErrNoLink is wrapped by failures that say nothing of the target, because this node had
// no link to any.
var ErrNoLink = errors.New("links: this node reaches no target")

// Sender sends a request to a target.
type Sender interface {
	Send(ctx context.Context, to upstream.Address, r *upstream.Request) (*http.Response, error)
}

// Client sends requests over this node's own links and watches what that says of these.
// Its methods are safe for concurrent use.
type Client struct {
	direct Sender
	// monitor returns the monitor of the links to a target and those like it.
	monitor func(target string) *Monitor
}

// NewClient returns a client that sends with another one.
func NewClient(direct Sender, monitor func(target string) *Monitor) *Client {
	return &Client{direct: direct, monitor: monitor}
}

// Send sends the request as upstream.Client.Send does. Errors of it and of the body wrap
// ErrNoLink if the links are known to be lost.
func (c *Client) Send(ctx context.Context, to upstream.Address, r *upstream.Request) (*http.Response, error) {
	monitor, began := c.monitor(to.ID), time.Now()
	silence := time.AfterFunc(silenceTimeout, func() {
		if !monitor.heardSince(began) {
			monitor.Suspect()
		}
	})
	resp, err := c.direct.Send(ctx, to, r)
	silence.Stop()
	if err != nil {
		return nil, monitor.explain(ctx, err)
	}
	monitor.recordHeard()
	resp.Body = &watchedBody{ReadCloser: resp.Body, ctx: ctx, monitor: monitor}
	return resp, nil
}

// explain returns the error of an attempt, which makes the links suspect unless the request
// was cancelled.
func (m *Monitor) explain(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		m.Suspect()
	}
	if m.Linked() {
		return err
	}
	var sendErr *upstream.SendError
	if !errors.As(err, &sendErr) {
		return fmt.Errorf("%w: %w", ErrNoLink, err)
	}
	explained := *sendErr
	explained.Err = fmt.Errorf("%w: %w", ErrNoLink, sendErr.Err)
	return &explained
}

// watchedBody is the body of a response from a target.
type watchedBody struct {
	io.ReadCloser
	ctx     context.Context
	monitor *Monitor
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.monitor.recordHeard()
	}
	if err != nil && err != io.EOF {
		err = b.monitor.explain(b.ctx, err)
	}
	return n, err
}
