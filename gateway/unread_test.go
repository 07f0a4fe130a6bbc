package gateway_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/gateway"
	"github.com/primrosemoor/primrosemoor/telemetry"
)

// endMetrics signals the end of each request.
type endMetrics struct {
	nopMetrics
	ended chan telemetry.EndedRequest
}

// RequestEnded implements gateway.Metrics.
func (m endMetrics) RequestEnded(e telemetry.EndedRequest) { m.ended <- e }

// A request whose caller read nothing of a long answer went on after its time limit, with
// its memory and its place at the target, until the caller closed the connection.
func TestRequestEndsSoonAfterItsTimeLimitThoughItsCallerReadsNothing(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.NonIdempotent, catalog.Streaming} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			is := is.New(t)
			script := signedOK(strings.Repeat("data: 0123456789\n\n", 1<<20)) // More than the sockets hold.
			metrics := endMetrics{ended: make(chan telemetry.EndedRequest, 1)}
			g := newTestGatewayWith(t, newRoute(kind), func(o *gateway.Options) { o.Metrics = metrics }, script)
			conn, err := net.Dial("tcp4", g.server.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.(*net.TCPConn).SetReadBuffer(4 << 10))
			fmt.Fprint(conn, strings.Replace(rawRequest, "Deadline-Ms: 2000", "Deadline-Ms: 500", 1))
			select {
			case <-metrics.ended:
			case <-time.After(3 * time.Second):
				t.Error("the request goes on")
			}
		})
	}
}

// The time limit of one request does not hold for the next one on the connection.
func TestTimeLimitOfARequestEndsWithIt(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.NonIdempotent))
	short := strings.NewReplacer("Deadline-Ms: 2000", "Deadline-Ms: 100", "Connection: close\r\n", "")
	conn, err := net.Dial("tcp4", g.server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	fmt.Fprint(conn, short.Replace(rawRequest))
	got := make([]byte, 4<<10)
	n, err := conn.Read(got)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(got[:n]), "HTTP/1.1 200"))
	time.Sleep(time.Second)
	fmt.Fprint(conn, strings.Replace(rawRequest, "/walks/1", "/no-route", 1))
	n, err = conn.Read(got)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(got[:n]), "HTTP/1.1 404"))
}

// A body that is complete only long after the time limit of its request came from a caller
// who may still wait: it was closed on without a word.
func TestRequestThatIsCompleteLongAfterItsTimeLimitIsAnswered(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.NonIdempotent))
	conn, err := net.Dial("tcp4", g.server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	head, ok := strings.CutSuffix(strings.Replace(rawRequest, "Deadline-Ms: 2000", "Deadline-Ms: 100", 1), "the body")
	is.True(ok)
	fmt.Fprint(conn, head)
	time.Sleep(time.Second)
	fmt.Fprint(conn, "the body")
	is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	got, err := io.ReadAll(conn)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(got), "HTTP/1.1 503"))
	is.Equal(len(g.sender.sent()), 0)
}
