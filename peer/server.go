package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// Handler serves one call, given its serialized request. An error it returns is
// sent to the caller as a typed error. The context ends when the caller closes
// the stream.
type Handler func(ctx context.Context, caller Identity, request []byte) (proto.Message, error)

// StreamHandler serves a long-lived stream. The stream is closed when the
// handler returns; it should return when the context ends.
type StreamHandler func(ctx context.Context, caller Identity, s *Stream) error

// Server accepts connections from peers and dispatches their calls.
type Server struct {
	identity Identity
	meter    Meter
	tls      *tls.Config
	counter  trafficCounter

	mu       sync.Mutex
	handlers map[schema.Method]Handler
	streams  map[schema.Method]StreamHandler
	sessions map[*yamux.Session]struct{}
	listener net.Listener
	closed   bool
	wg       sync.WaitGroup
}

// NewServer returns a server with the given identity. A nil tlsConfig disables
// TLS.
func NewServer(identity Identity, meter Meter, tlsConfig *tls.Config) *Server {
	return &Server{
		identity: identity,
		meter:    meter,
		tls:      tlsConfig,
		handlers: make(map[schema.Method]Handler),
		streams:  make(map[schema.Method]StreamHandler),
		sessions: make(map[*yamux.Session]struct{}),
	}
}

// Handle registers the handler of a method. It must be called before Serve.
// newRequest must return a new, empty request message.
func Handle[Req, Resp proto.Message](s *Server, method schema.Method, newRequest func() Req,
	handle func(ctx context.Context, caller Identity, req Req) (Resp, error)) {
	s.handlers[method] = func(ctx context.Context, caller Identity, raw []byte) (proto.Message, error) {
		req := newRequest()
		if err := proto.Unmarshal(raw, req); err != nil {
			return nil, fault.Wrap(schema.ErrorKind_ERROR_KIND_BAD_REQUEST, err,
				"request message is malformed", "run nodes of adjoining releases only")
		}
		return handle(ctx, caller, req)
	}
}

// HandleStream registers the handler for streams of a method. It must be called
// before Serve.
func (s *Server) HandleStream(method schema.Method, serve StreamHandler) {
	s.streams[method] = serve
}

// Serve accepts connections until Close. It returns nil after Close.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return listener.Close()
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			if s.isClosed() {
				return nil
			}
			return err
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.serveConn(conn)
		}()
	}
}

// Traffic returns the bytes sent and received on incoming connections.
func (s *Server) Traffic() Traffic {
	return s.counter.traffic()
}

// Close stops accepting connections, closes all sessions and waits for their
// handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		s.listener.Close()
	}
	for session := range s.sessions {
		session.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) serveConn(conn net.Conn) {
	defer conn.Close()
	conn = &countingConn{Conn: conn, counter: &s.counter}
	if s.tls != nil {
		conn = tls.Server(conn, s.tls)
	}
	caller, err := s.serverHandshake(conn)
	if err != nil {
		return
	}
	session, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		return
	}
	if !s.addSession(session) {
		session.Close()
		return
	}
	defer s.removeSession(session)
	for {
		conn, err := session.Accept()
		if err != nil {
			return
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.serveStream(conn, caller)
		}()
	}
}

func (s *Server) addSession(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = struct{}{}
	return true
}

func (s *Server) removeSession(session *yamux.Session) {
	session.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

func (s *Server) serverHandshake(conn net.Conn) (Identity, error) {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return Identity{}, err
	}
	hello := &schema.Hello{}
	if err := readMessage(conn, hello); err != nil {
		return Identity{}, err
	}
	rejection := s.identity.checkHello(hello)
	reply := &schema.HelloReply{
		Error:       fault.ToProto(rejection),
		Node:        s.identity.Node,
		Incarnation: s.identity.Incarnation,
	}
	if err := writeMessage(conn, reply); err != nil {
		return Identity{}, err
	}
	if rejection != nil {
		return Identity{}, rejection
	}
	caller := Identity{
		Cluster:          hello.GetCluster(),
		Node:             hello.GetNode(),
		AvailabilityZone: hello.GetAvailabilityZone(),
		Incarnation:      hello.GetIncarnation(),
	}
	return caller, conn.SetDeadline(time.Time{})
}

func (s *Server) serveStream(conn net.Conn, caller Identity) {
	stream := newStream(conn)
	defer stream.Close()
	header := &schema.CallHeader{}
	if err := stream.Receive(header); err != nil {
		return
	}
	if serve, ok := s.streams[header.GetMethod()]; ok {
		// An error ends the stream; both sides detect that and open another one.
		_ = serve(context.Background(), caller, stream)
		return
	}
	request, err := stream.receiveRaw()
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		// The caller sends nothing after the request, so this returns only
		// when the stream ends.
		stream.AwaitClose()
		cancel()
	}()
	reply, err := s.dispatch(ctx, caller, header.GetMethod(), request)
	s.sendReply(stream, reply, err)
	s.meter.CountCall(header.GetMethod(), stream.sentBytes, len(request))
}

func (s *Server) dispatch(ctx context.Context, caller Identity, method schema.Method, request []byte) (proto.Message, error) {
	handler, ok := s.handlers[method]
	if !ok {
		return nil, fault.New(schema.ErrorKind_ERROR_KIND_INCOMPATIBLE,
			"method "+method.String()+" is not served here", "run nodes of adjoining releases only")
	}
	return handler(ctx, caller, request)
}

// sendReply sends the reply or the error. It ignores send errors, because the
// caller sees a lost reply as a broken stream.
func (s *Server) sendReply(stream *Stream, reply proto.Message, err error) {
	if err != nil {
		_ = stream.Send(&schema.CallStatus{Error: fault.ToProto(err)})
		return
	}
	_ = stream.Send(&schema.CallStatus{}, reply)
}
