package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/gateway"
	"github.com/primrosemoor/primrosemoor/links"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// ServerOptions configures a Server.
type ServerOptions struct {
	// Sender sends to targets over this node's own links.
	Sender links.Sender
	Codec  gateway.HeaderCodec
	// Signals and Limits learn what targets ask of this node.
	Signals gateway.TargetSignals
	Limits  gateway.TargetLimits
	Prober  gateway.Prober
	// Links knows whether this node has links to targets of any service, and to those of a
	// target's service.
	Links interface {
		gateway.Links
		Linked() bool
		LinkedTo(target string) bool
	}
	// MaxRequests bounds the requests that are forwarded at the same time.
	MaxRequests int64
	Logger      *log.Logger
}

// Server sends requests to targets for other nodes.
type Server struct {
	ServerOptions
	running  atomic.Int64
	stopping atomic.Bool
}

// NewServer returns a server.
func NewServer(options ServerOptions) *Server { return &Server{ServerOptions: options} }

// Stop makes the server accept no more requests.
func (s *Server) Stop() { s.stopping.Store(true) }

// drainInterval is how often Drain checks whether requests are left.
const drainInterval = 20 * time.Millisecond

// Drain waits until no request is forwarded any more, or ctx ends, and returns how many
// are left.
func (s *Server) Drain(ctx context.Context) int64 {
	for s.running.Load() > 0 && ctx.Err() == nil {
		time.Sleep(drainInterval)
	}
	return s.running.Load()
}

var (
	errNoLinks     = fmt.Errorf("forward: %w", links.ErrNoLink)
	errBusy        = fmt.Errorf("%w: too many requests are forwarded, or this node stops", links.ErrNoLink)
	errUnwanted    = fmt.Errorf("%w: the target has asked this node for no request", links.ErrNoLink)
	errBodyTooLong = errors.New("forward: the body is longer than stated, or too long")
)

// Serve forwards one request of another node.
func (s *Server) Serve(ctx context.Context, from peer.Identity, stream *peer.Stream) error {
	defer s.running.Add(-1)
	if running := s.running.Add(1); running > s.MaxRequests || s.stopping.Load() {
		return sendFailure(stream, errBusy)
	}
	if !s.Links.Linked() {
		return sendFailure(stream, errNoLinks)
	}
	if err := stream.Send(&schema.ForwardReply{Accepted: true}); err != nil {
		return err
	}
	f, err := receiveRequest(stream)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// Nothing follows the request, so that this returns when the other node gives up.
		stream.AwaitClose()
		cancel()
	}()
	return s.forward(ctx, from, stream, f)
}

// forwarded is a request of another node.
type forwarded struct {
	*schema.ForwardRequest
	body    []byte
	arrived time.Time
}

func (f *forwarded) address() upstream.Address {
	return upstream.Address{ID: f.GetTarget(), Host: f.GetAddress()}
}

// receiveRequest receives a request with its body.
func receiveRequest(stream *peer.Stream) (*forwarded, error) {
	f := &forwarded{ForwardRequest: &schema.ForwardRequest{}}
	if err := stream.Receive(f.ForwardRequest); err != nil {
		return nil, err
	}
	f.arrived = time.Now().Add(-time.Duration(f.GetAgeMicros()) * time.Microsecond)
	if f.GetBodyBytes() > maxBodyBytes {
		return nil, errBodyTooLong
	}
	for part := (&schema.ForwardBody{}); uint64(len(f.body)) < f.GetBodyBytes(); {
		if err := stream.Receive(part); err != nil {
			return nil, err
		}
		f.body = append(f.body, part.GetData()...)
		if uint64(len(f.body)) > f.GetBodyBytes() {
			return nil, errBodyTooLong
		}
	}
	return f, nil
}

// forward sends a request to its target and passes the response on.
func (s *Server) forward(ctx context.Context, from peer.Identity, stream *peer.Stream, f *forwarded) error {
	if !s.Links.LinkedTo(f.GetTarget()) {
		return stream.Send(&schema.ForwardReply{Failure: unlinked(errNoLinks)})
	}
	target := &catalog.Target{ID: f.GetTarget(), Address: f.GetAddress(), Started: f.GetStarted()}
	if !s.Signals.MaySend(target, f.arrived) {
		return sendFailure(stream, errUnwanted)
	}
	resp, err := s.Sender.Send(ctx, f.address(), s.request(f))
	if err != nil {
		s.logForwarded(from, f, 0, err)
		return s.fail(ctx, stream, f, err)
	}
	defer resp.Body.Close()
	s.recordInfo(target, s.Codec.ParseResponse(resp.StatusCode, resp.Header))
	head := &schema.ForwardResponse{Status: int32(resp.StatusCode), Header: encodeHeader(resp.Header), Length: resp.ContentLength}
	if err := stream.Send(&schema.ForwardReply{Response: head}); err != nil {
		return err
	}
	err = passOn(stream, resp.Body)
	s.logForwarded(from, f, resp.StatusCode, err)
	var readErr *readError
	if errors.As(err, &readErr) {
		return s.fail(ctx, stream, f, readErr.cause)
	}
	return err
}

// request returns the request as it is sent to the target.
func (s *Server) request(f *forwarded) *upstream.Request {
	return &upstream.Request{
		Method: f.GetMethod(), URI: f.GetUri(), Host: f.GetHost(), Header: decodeHeader(f.GetHeader()), Body: f.body,
		NewConn: f.GetNewConnection(),
		Matches: func(h http.Header) bool { return s.Codec.ParseResponse(http.StatusOK, h).ID == f.GetId() },
	}
}

// recordInfo records what the target asked of this node, which it takes for the sender.
func (s *Server) recordInfo(target *catalog.Target, info gateway.ResponseInfo) {
	s.Limits.RecordLimit(target.ID, info.Limit, info.HasLimit)
	s.Limits.RecordBrittle(target.ID, info.Brittle)
	if info.Leaving || info.Pause > 0 {
		s.Signals.RecordSignal(balance.Signal{Target: target.ID, Started: target.Started, Leaving: info.Leaving, Pause: info.Pause})
	}
}

// readError is a failed read of a response, as opposed to a failed send to the other node.
type readError struct{ cause error }

// Error implements error.
func (e *readError) Error() string { return e.cause.Error() }

// passOn passes a body on as it arrives.
func passOn(stream *peer.Stream, body io.Reader) error {
	part := make([]byte, bodyBytes)
	for {
		n, err := body.Read(part)
		reply := &schema.ForwardReply{Data: part[:n], End: err == io.EOF}
		if n > 0 || reply.End {
			if err := stream.Send(reply); err != nil {
				return err
			}
		}
		switch {
		case reply.End:
			return nil
		case err != nil:
			return &readError{err}
		}
	}
}

// crashProbeTimeout bounds the check whether a target has crashed.
const crashProbeTimeout = 300 * time.Millisecond

// fail tells the other node how a request ended without a response, or without the whole
// of one.
func (s *Server) fail(ctx context.Context, stream *peer.Stream, f *forwarded, err error) error {
	failure := describe(err)
	var sendErr *upstream.SendError
	failure.Unlinked = failure.NoLink && errors.As(err, &sendErr) && !sendErr.Sent
	if failure.PeerClosed && ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
		defer cancel()
		failure.Crashed = s.Prober.Refuses(ctx, f.address()) && s.Links.Verify(ctx)
	}
	return stream.Send(&schema.ForwardReply{Failure: failure})
}

func sendFailure(stream *peer.Stream, err error) error {
	return stream.Send(&schema.ForwardReply{Failure: describe(err)})
}

// unlinked describes the failure of a request that was not sent because this node has no
// link to the targets of the service.
func unlinked(err error) *schema.ForwardFailure {
	failure := describe(err)
	failure.Unlinked = true
	return failure
}

func describe(err error) *schema.ForwardFailure {
	failure := &schema.ForwardFailure{
		Message: err.Error(), PeerClosed: upstream.IsPeerClosed(err), NoLink: errors.Is(err, links.ErrNoLink),
	}
	var sendErr *upstream.SendError
	if errors.As(err, &sendErr) {
		failure.Sent, failure.PeerClosed = sendErr.Sent, sendErr.PeerClosed
	}
	return failure
}

// logForwarded logs a request that was sent for another node.
func (s *Server) logForwarded(from peer.Identity, f *forwarded, status int, err error) {
	s.Logger.Info().Str("event", "request_sent_for").Str("node", from.Node).Str("request", f.GetId()).
		Str("target", f.GetTarget()).Int("status", status).Err(err).Msg("")
}
