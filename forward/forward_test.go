package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/forward"
	"github.com/primrosemoor/primrosemoor/links"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/platform"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// otherNode is a node that forwards requests. It stands in for its own links.
type otherNode struct {
	node   datastore.Node
	server *forward.Server
	peers  *peer.Server
	lost   atomic.Bool
	// unlinked is whether it reaches no target of the service, lost whether it reaches none.
	unlinked atomic.Bool
	crashed  atomic.Bool
	// unwanted is whether targets want no request from it.
	unwanted atomic.Bool
	signals  chan balance.Signal
	sends    chan *upstream.Request
	ended    chan error
	// answer is what the target does; nil answers a body of two parts.
	answer func(ctx context.Context, r *upstream.Request) (*http.Response, error)
}

func (n *otherNode) Send(ctx context.Context, _ upstream.Address, r *upstream.Request) (*http.Response, error) {
	n.sends <- r
	context.AfterFunc(ctx, func() { n.ended <- ctx.Err() })
	if n.answer != nil {
		return n.answer(ctx, r)
	}
	return response(io.MultiReader(strings.NewReader("id: 1\n\n"), strings.NewReader("id: 2\n\n"))), nil
}

func response(body io.Reader) *http.Response {
	return &http.Response{StatusCode: 200, Header: http.Header{"X-A": {"1", "2"}, "Server-Leaving": {"1"}}, ContentLength: -1, Body: io.NopCloser(body)}
}

func (n *otherNode) Linked() bool                                   { return !n.lost.Load() }
func (n *otherNode) LinkedTo(string) bool                           { return !n.lost.Load() && !n.unlinked.Load() }
func (n *otherNode) Verify(context.Context) bool                    { return !n.lost.Load() }
func (n *otherNode) Refuses(context.Context, upstream.Address) bool { return n.crashed.Load() }
func (n *otherNode) RecordLimit(string, float64, bool)              {}
func (n *otherNode) RecordBrittle(string, bool)                     {}
func (n *otherNode) RecordSignal(s balance.Signal)                  { n.signals <- s }
func (n *otherNode) MaySend(*catalog.Target, time.Time) bool        { return !n.unwanted.Load() }
func (n *otherNode) Leaves(*catalog.Target) bool                    { return false }

func startOther(t *testing.T, name, zone string) *otherNode {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &otherNode{
		node:    datastore.Node{Name: name, Zone: zone, Address: l.Addr().String()},
		signals: make(chan balance.Signal, 64), sends: make(chan *upstream.Request, 64), ended: make(chan error, 64),
	}
	n.server = forward.NewServer(forward.ServerOptions{
		Sender: n, Codec: platform.HeaderCodec{}, Signals: n, Limits: n, Prober: n, Links: n, MaxRequests: 2, Logger: logging.Discard(),
	})
	n.peers = peer.NewServer(peer.Identity{Cluster: "test", Node: name}, peer.NopMeter{}, nil)
	n.peers.HandleStream(schema.Method_METHOD_FORWARD, n.server.Serve)
	go n.peers.Serve(l)
	t.Cleanup(n.peers.Close)
	return n
}

func newClient(t *testing.T, others ...*otherNode) *forward.Client {
	t.Helper()
	pool := peer.NewPool(peer.PoolOptions{Identity: peer.Identity{Cluster: "test", Node: "self"}, Meter: peer.NopMeter{}, DialTimeout: time.Second})
	t.Cleanup(pool.Close)
	return forward.NewClient(forward.ClientOptions{
		Self: datastore.Node{Name: "self", Zone: "a"}, Pool: pool, Zone: func(string) string { return "a" }, Service: func(string) string { return "s" }, Logger: logging.Discard(),
		Nodes: func() (nodes []datastore.Node) {
			for _, n := range others {
				nodes = append(nodes, n.node)
			}
			return nodes
		},
	})
}

func request(body string) *upstream.Request {
	return &upstream.Request{
		Method: "POST", URI: "/walks/1?a=b", Host: "farm.example", ID: "id-1", Body: []byte(body), Arrived: time.Now(),
		Header: http.Header{"X-Primrosemoor-Attempt-Id": {"id-1"}},
	}
}

var target = upstream.Address{ID: "i-1", Host: "10.0.0.1:80"}

func TestForwardedRequestAndItsResponseAreUnchanged(t *testing.T) {
	for _, size := range []int{0, 10, 1 << 20} {
		t.Run(fmt.Sprint(size, " bytes"), func(t *testing.T) {
			is := is.New(t)
			n := startOther(t, "n2", "a")
			body := strings.Repeat("x", size)
			resp, err := newClient(t, n).Send(t.Context(), target, request(body))
			is.NoErr(err)
			sent := <-n.sends
			is.Equal(sent.Method+" "+sent.Host+sent.URI, "POST farm.example/walks/1?a=b")
			is.Equal(len(sent.Body), size)
			is.True(sent.Matches(http.Header{"X-Primrosemoor-Attempt-Id": {"id-1"}}))
			is.True(!sent.Matches(http.Header{"X-Primrosemoor-Attempt-Id": {"id-2"}}))
			is.Equal(resp.StatusCode, 200)
			is.Equal(resp.Header["X-A"], []string{"1", "2"})
			got, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(got), "id: 1\n\nid: 2\n\n")
			is.NoErr(resp.Body.Close())
			is.Equal((<-n.signals).Leaving, true) // The target takes the other node for the sender.
		})
	}
}

func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	is := is.New(t)
	n := startOther(t, "n2", "a")
	r, w := io.Pipe()
	n.answer = func(ctx context.Context, _ *upstream.Request) (*http.Response, error) {
		context.AfterFunc(ctx, func() { r.CloseWithError(ctx.Err()) })
		return response(r), nil
	}
	resp, err := newClient(t, n).Send(t.Context(), target, request(""))
	is.NoErr(err)
	for i := range 3 {
		event := fmt.Sprintf("id: %d\n\n", i)
		go w.Write([]byte(event))
		got := make([]byte, len(event))
		_, err = io.ReadFull(resp.Body, got)
		is.NoErr(err)
		is.Equal(string(got), event)
	}
	is.NoErr(resp.Body.Close())
	is.True(<-n.ended != nil) // The other node gives up what is no longer wanted.
}

func TestFailuresAtTheOtherNodeKeepTheirMeaning(t *testing.T) {
	reset := &upstream.SendError{Sent: true, PeerClosed: true, Err: io.ErrUnexpectedEOF}
	for _, c := range []struct {
		name                                       string
		set                                        func(*otherNode)
		sent, peerClosed, noLink, crashed, inABody bool
	}{
		{"target unreachable", func(n *otherNode) { n.answer = fails(&upstream.SendError{Err: errors.New("refused")}) }, false, false, false, false, false},
		{"target closed the connection", func(n *otherNode) { n.answer = fails(reset) }, true, true, false, false, false},
		{"target crashed", func(n *otherNode) { n.answer = fails(reset); n.crashed.Store(true) }, true, true, false, true, false},
		{"target wants no request", func(n *otherNode) { n.unwanted.Store(true) }, false, false, true, false, false},
		{"links lost meanwhile", func(n *otherNode) {
			n.answer = fails(&upstream.SendError{Sent: true, Err: links.ErrNoLink})
		}, true, false, true, false, false},
		{"body cut", func(n *otherNode) {
			n.answer = func(context.Context, *upstream.Request) (*http.Response, error) {
				return response(io.MultiReader(strings.NewReader("id: 1\n\n"), brokenReader{})), nil
			}
		}, true, true, false, false, true},
		{"node gone", func(n *otherNode) {
			n.answer = func(context.Context, *upstream.Request) (*http.Response, error) {
				go n.peers.Close()
				time.Sleep(200 * time.Millisecond)
				return nil, errors.New("too late")
			}
		}, true, false, true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := startOther(t, "n2", "a")
			c.set(n)
			resp, err := newClient(t, n).Send(t.Context(), target, request("body"))
			if c.inABody {
				is.NoErr(err)
				_, err = io.ReadAll(resp.Body)
				is.True(errors.Is(err, upstream.ErrTruncated))
				is.True(upstream.IsPeerClosed(err))
				return
			}
			var sendErr *upstream.SendError
			is.True(errors.As(err, &sendErr))
			is.Equal(sendErr.Sent, c.sent)
			is.Equal(sendErr.PeerClosed, c.peerClosed)
			is.Equal(errors.Is(err, links.ErrNoLink), c.noLink)
			is.Equal(errors.Is(err, links.ErrTargetCrashed), c.crashed)
			if !c.sent {
				is.Equal(len(n.sends) > 0, c.name == "target unreachable")
			}
		})
	}
}

func fails(err error) func(context.Context, *upstream.Request) (*http.Response, error) {
	return func(context.Context, *upstream.Request) (*http.Response, error) { return nil, err }
}

// brokenReader is a connection that the target closes.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// slowClose is a body whose connection takes a moment to close.
type slowClose struct{ io.Reader }

func (slowClose) Close() error {
	time.Sleep(50 * time.Millisecond)
	return nil
}

// A node may reach the targets of other services only, and find that out late.
func TestNodeWithoutLinksToTheServiceIsNotTheLastOneAsked(t *testing.T) {
	noLink := &upstream.SendError{Err: links.ErrNoLink}
	for _, c := range []struct {
		name string
		set  func(*otherNode)
	}{
		{"known", func(n *otherNode) { n.unlinked.Store(true) }},
		{"found out now", func(n *otherNode) { n.answer = fails(noLink) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			unlinked, other := startOther(t, "n2", "a"), startOther(t, "n3", "b")
			c.set(unlinked)
			client := newClient(t, unlinked, other)
			for range 3 {
				resp, err := client.Send(t.Context(), target, request("body"))
				is.NoErr(err)
				is.NoErr(resp.Body.Close())
				is.Equal(other.server.Drain(t.Context()), int64(0))
			}
			is.Equal(len(other.sends), 3)
			is.True(len(unlinked.sends) <= 1) // It is asked last for a time.
			other.server.Stop()
			_, err := client.Send(t.Context(), target, request("body"))
			is.True(errors.Is(err, links.ErrNoLink))
			is.True(!client.Usable())
		})
	}
}

func TestRequestWaitsForTheOnlyOtherNodeThatHasJustRefused(t *testing.T) {
	is := is.New(t)
	n := startOther(t, "n2", "a")
	client := newClient(t, n)
	n.unlinked.Store(true)
	_, err := client.Send(t.Context(), target, request("body"))
	is.True(errors.Is(err, links.ErrNoLink))
	n.unlinked.Store(false)
	resp, err := client.Send(t.Context(), target, request("body"))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
}

func TestRequestDoesNotWaitWhereThereIsNoOtherNode(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	_, err := newClient(t).Send(t.Context(), target, request("body"))
	is.True(errors.Is(err, links.ErrNoLink))
	is.True(time.Since(began) < 200*time.Millisecond) // Others that refuse are waited for for 0.25 s.
}

func TestNodeThatAcceptsIsFoundBesideOthers(t *testing.T) {
	is := is.New(t)
	lost, gone, other := startOther(t, "n2", "a"), startOther(t, "n3", "a"), startOther(t, "n4", "b")
	lost.lost.Store(true)
	gone.peers.Close()
	other.answer = func(context.Context, *upstream.Request) (*http.Response, error) {
		resp := response(nil)
		resp.Body = slowClose{strings.NewReader("whole")}
		return resp, nil
	}
	client := newClient(t, lost, gone, other)
	for range 3 {
		resp, err := client.Send(t.Context(), target, request(""))
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		// A request counts against the bound of its node until its connection to the target is closed.
		is.Equal(other.server.Drain(t.Context()), int64(0))
	}
	is.Equal(len(other.sends), 3)
	is.True(client.Usable())
	other.server.Stop()
	_, err := client.Send(t.Context(), target, request(""))
	var sendErr *upstream.SendError
	is.True(errors.As(err, &sendErr))
	is.True(!sendErr.Sent)
	is.True(errors.Is(err, links.ErrNoLink))
	is.True(!client.Usable())
	is.Equal(len(lost.sends), 0)
}

func TestAnswerIsNotWholeIfTheOtherNodeEndsInItsMiddle(t *testing.T) {
	is := is.New(t)
	n := startOther(t, "n2", "a")
	n.answer = func(ctx context.Context, _ *upstream.Request) (*http.Response, error) {
		r, w := io.Pipe()
		context.AfterFunc(ctx, func() { r.CloseWithError(ctx.Err()) })
		go w.Write([]byte("id: 1\n\n"))
		return response(r), nil
	}
	resp, err := newClient(t, n).Send(t.Context(), target, request(""))
	is.NoErr(err)
	_, err = resp.Body.Read(make([]byte, 64))
	is.NoErr(err)
	n.peers.Close()
	_, err = resp.Body.Read(make([]byte, 64))
	is.True(errors.Is(err, upstream.ErrTruncated))
	is.True(errors.Is(err, links.ErrNoLink))
	is.True(!errors.Is(err, io.EOF))     // Readers take that for the end of the answer.
	is.True(!upstream.IsPeerClosed(err)) // Nothing is known of the target.
}

func TestNodeForwardsABoundedNumberOfRequestsAndEndsThemInAPlannedStop(t *testing.T) {
	is := is.New(t)
	n := startOther(t, "n2", "a")
	release := make(chan struct{})
	n.answer = func(context.Context, *upstream.Request) (*http.Response, error) {
		<-release
		return response(strings.NewReader("whole")), nil
	}
	client := newClient(t, n)
	var running sync.WaitGroup
	var whole atomic.Int32
	for range 2 {
		running.Go(func() {
			if resp, err := client.Send(t.Context(), target, request("")); err == nil {
				if got, err := io.ReadAll(resp.Body); err == nil && string(got) == "whole" {
					whole.Add(1)
				}
			}
		})
	}
	<-n.sends
	<-n.sends
	_, err := client.Send(t.Context(), target, request(""))
	is.True(err != nil) // A third one is too many.
	n.server.Stop()
	time.AfterFunc(100*time.Millisecond, func() { close(release) })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.Equal(n.server.Drain(ctx), int64(0))
	running.Wait()
	is.Equal(whole.Load(), int32(2))
}

func TestOtherNodeEndsARequestThatIsCancelled(t *testing.T) {
	is := is.New(t)
	n := startOther(t, "n2", "a")
	n.answer = func(ctx context.Context, _ *upstream.Request) (*http.Response, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	client := newClient(t, n)
	go func() {
		_, err := client.Send(ctx, target, request(""))
		failed <- err
	}()
	<-n.sends
	cancelled := time.Now()
	cancel()
	is.True(<-n.ended != nil)
	is.True(<-failed != nil)
	is.True(time.Since(cancelled) < 400*time.Millisecond)
}
