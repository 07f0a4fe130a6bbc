package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/links"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/upstream"
)

const (
	// acceptTimeout bounds how long a node may take to accept a request: a connection to
	// another region and an answer over it.
	acceptTimeout = 300 * time.Millisecond
	// refusedTime is how long the outcome of a request shows whether another node accepts the
	// next one.
	refusedTime = 3 * time.Second
)

// Connector opens streams to other nodes.
type Connector interface {
	OpenStream(ctx context.Context, address string, method schema.Method) (*peer.Stream, error)
}

// ClientOptions configures a Client.
type ClientOptions struct {
	Self datastore.Node
	Pool Connector
	// Nodes returns the other nodes that are not known to be silent.
	Nodes func() []datastore.Node
	// Zone returns the availability zone of a target, and Service its service, empty if
	// unknown.
	Zone, Service func(target string) string
	Logger        *log.Logger
}

// Client has other nodes send requests to targets. Its methods are safe for concurrent use.
type Client struct {
	ClientOptions

	mu sync.Mutex
	// services holds what is known of the other nodes by service, as a node may have links
	// to the targets of one and not of another.
	services map[string]*standing
}

// NewClient returns a client.
func NewClient(options ClientOptions) *Client {
	return &Client{ClientOptions: options, services: make(map[string]*standing)}
}

// Usable reports whether another node has just accepted the last request to some service,
// or may accept one now, as none has just been refused.
func (c *Client) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	usable := true
	for _, s := range c.services {
		switch {
		case time.Since(s.outcomeAt) >= refusedTime:
		case s.lastAccepted:
			return true
		default:
			usable = false
		}
	}
	return usable
}

// standing returns what is known of the other nodes for a service. The caller must hold
// c.mu.
func (c *Client) standing(service string) *standing {
	s := c.services[service]
	if s == nil {
		s = newStanding()
		c.services[service] = s
	}
	return s
}

// Send has another node send the request. It implements links.Sender.
func (c *Client) Send(ctx context.Context, to upstream.Address, r *upstream.Request) (*http.Response, error) {
	service := c.Service(to.ID)
	ranked := c.rank(service, to)
	if len(ranked) == 0 && len(c.Nodes()) > 0 {
		// All have just refused. A node whose links are back is found by those who wait.
		select {
		case <-time.After(askAgainInterval):
		case <-ctx.Done():
			return nil, noLink(to, context.Cause(ctx))
		}
		ranked = c.rank(service, to)
	}
	for _, n := range ranked {
		resp, err := c.sendThrough(ctx, n, service, to, r)
		if err == nil || !errors.Is(err, errNotAccepted) {
			return resp, err
		}
		c.Logger.Info().Str("event", "forward_not_accepted").Str("node", n.Name).Str("service", service).Err(err).Msg("")
	}
	c.mu.Lock()
	c.standing(service).recordOutcome(false, time.Now())
	c.mu.Unlock()
	return nil, noLink(to, errNoNode)
}

// rank returns the nodes to ask to forward a request, in order.
func (c *Client) rank(service string, to upstream.Address) []datastore.Node {
	nodes := c.Nodes()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.standing(service).rank(nodes, c.Self.Zone, c.Zone(to.ID), time.Now())
}

var (
	errNoNode = errors.New("forward: no other node accepts the request")
	// errNotAccepted is wrapped by errors of nodes that have certainly not sent the request.
	errNotAccepted = errors.New("forward: not accepted")
)

// noLink returns the error of a request that was not sent.
func noLink(to upstream.Address, err error) error {
	return &upstream.SendError{Address: to, Err: fmt.Errorf("%w: %w", links.ErrNoLink, err)}
}

// sendThrough has a node send the request. The error wraps errNotAccepted if another node
// may be asked.
func (c *Client) sendThrough(ctx context.Context, n datastore.Node, service string, to upstream.Address, r *upstream.Request) (*http.Response, error) {
	stream, err := c.ask(ctx, n)
	if ctx.Err() != nil {
		if err == nil {
			stream.Close()
		}
		return nil, noLink(to, context.Cause(ctx))
	}
	c.record(n, service, err == nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotAccepted, err)
	}
	c.Logger.Info().Str("event", "request_forwarded").Str("request", r.ID).Str("target", to.ID).Str("by", n.Name).Msg("")
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	x := &exchange{client: c, stream: stream, node: n.Name, service: service, ctx: ctx, stop: stop}
	resp, err := x.roundTrip(to, r)
	if err != nil {
		x.Close()
		if errors.Is(err, errNotAccepted) {
			c.record(n, service, false)
		}
		return nil, err
	}
	return resp, nil
}

// record records whether a node accepted a request to a service.
func (c *Client) record(n datastore.Node, service string, accepted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.standing(service)
	if accepted {
		s.recordOutcome(true, time.Now())
		s.accepted(n)
		return
	}
	s.refused(n, time.Now())
}

func (c *Client) recordEnd(node, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.standing(service).ended(node)
}

// ask opens a stream to a node, which has accepted a request on it.
func (c *Client) ask(ctx context.Context, n datastore.Node) (*peer.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	stream, err := c.Pool.OpenStream(ctx, n.Address, schema.Method_METHOD_FORWARD)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	reply := &schema.ForwardReply{}
	err = stream.Receive(reply)
	if !stop() {
		err = errors.Join(err, ctx.Err())
	}
	switch {
	case err != nil:
	case reply.GetFailure() != nil:
		err = errors.New(reply.GetFailure().GetMessage())
	case !reply.GetAccepted():
		err = errMalformed
	default:
		return stream, nil
	}
	stream.Close()
	return nil, err
}

var errMalformed = errors.New("forward: the other node's answer is malformed")

// exchange is one request that another node forwards. It is the body of its response.
type exchange struct {
	client        *Client
	stream        *peer.Stream
	node, service string
	ctx           context.Context
	stop          func() bool
	once          sync.Once
	// data is what was received and not read, err how the body ends.
	data []byte
	err  error
}

// roundTrip sends the request and receives the head of the response.
func (x *exchange) roundTrip(to upstream.Address, r *upstream.Request) (*http.Response, error) {
	if err := x.send(to, r); err != nil {
		return nil, x.lost(to, err)
	}
	reply := &schema.ForwardReply{}
	if err := x.stream.Receive(reply); err != nil {
		return nil, x.lost(to, err)
	}
	if f := reply.GetFailure(); f != nil {
		if f.GetUnlinked() && !f.GetSent() {
			return nil, fmt.Errorf("%w: %w", errNotAccepted, x.failure(f))
		}
		return nil, &upstream.SendError{Address: to, Sent: f.GetSent(), PeerClosed: f.GetPeerClosed(), Err: x.failure(f)}
	}
	head := reply.GetResponse()
	if head == nil {
		return nil, x.lost(to, errMalformed)
	}
	return &http.Response{
		StatusCode: int(head.GetStatus()), Header: decodeHeader(head.GetHeader()), ContentLength: head.GetLength(), Body: x,
	}, nil
}

// send sends the request with its body.
func (x *exchange) send(to upstream.Address, r *upstream.Request) error {
	request := &schema.ForwardRequest{
		Target: to.ID, Address: to.Host, Started: r.Started, Method: r.Method, Uri: r.URI, Host: r.Host, Header: encodeHeader(r.Header),
		Id: r.ID, NewConnection: r.NewConn, BodyBytes: uint64(len(r.Body)), AgeMicros: time.Since(r.Arrived).Microseconds(),
	}
	if err := x.stream.Send(request); err != nil {
		return err
	}
	for rest := r.Body; len(rest) > 0; {
		n := min(len(rest), bodyBytes)
		if err := x.stream.Send(&schema.ForwardBody{Data: rest[:n]}); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// lost returns the error of a request that was passed to the other node and not heard of
// since: it may have been sent, and says nothing of the target.
func (x *exchange) lost(to upstream.Address, err error) error {
	return &upstream.SendError{Address: to, Sent: true, Err: x.streamError(err)}
}

// streamError returns the error of a failed stream to the other node. It does not wrap that of
// the stream: an end of the stream, or its reset, is neither the end of a body nor the
// target's doing.
func (x *exchange) streamError(err error) error {
	if cause := context.Cause(x.ctx); cause != nil {
		return fmt.Errorf("%w: %w", links.ErrNoLink, cause)
	}
	return fmt.Errorf("%w: stream to node %s: %v", links.ErrNoLink, x.node, err)
}

// failure returns the error that the other node met.
func (x *exchange) failure(f *schema.ForwardFailure) error {
	err := fmt.Errorf("forward: node %s: %s", x.node, f.GetMessage())
	if f.GetPeerClosed() {
		err = fmt.Errorf("%w: %w", err, io.ErrUnexpectedEOF)
	}
	if f.GetCrashed() {
		err = fmt.Errorf("%w: %w", err, links.ErrTargetCrashed)
	}
	if f.GetNoLink() {
		err = fmt.Errorf("%w: %w", links.ErrNoLink, err)
	}
	return err
}

// Read implements io.Reader for the body of the response.
func (x *exchange) Read(p []byte) (int, error) {
	if len(x.data) == 0 && x.err == nil {
		x.receive()
	}
	if len(x.data) > 0 {
		n := copy(p, x.data)
		x.data = x.data[n:]
		return n, nil
	}
	return 0, x.err
}

// receive receives the next part of the body.
func (x *exchange) receive() {
	reply := &schema.ForwardReply{}
	err := x.stream.Receive(reply)
	switch f := reply.GetFailure(); {
	case err != nil:
		x.err = fmt.Errorf("%w: %w", upstream.ErrTruncated, x.streamError(err))
	case f != nil:
		x.err = fmt.Errorf("%w: %w", upstream.ErrTruncated, x.failure(f))
	default:
		x.data = reply.GetData()
		if reply.GetEnd() {
			x.err = io.EOF
		}
	}
}

// Close implements io.Closer. The other node gives the request up unless it has ended.
func (x *exchange) Close() error {
	x.once.Do(func() {
		x.stop()
		x.client.recordEnd(x.node, x.service)
	})
	return x.stream.Close()
}
