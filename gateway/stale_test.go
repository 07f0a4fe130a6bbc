package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// rawTarget is a target that writes the bytes of its responses itself. It counts its
// connections, and the sends and the runs of each request.
type rawTarget struct {
	listener net.Listener
	respond  func(c *rawConn, r *http.Request)

	mu          sync.Mutex
	conns       int
	sends, runs map[string]int
}

// rawConn is the target's side of a connection.
type rawConn struct {
	net.Conn
	target *rawTarget
}

func (c *rawConn) write(text string) { fmt.Fprint(c.Conn, text) }

// run counts a run and returns its response.
func (c *rawConn) run(id string) string {
	c.target.mu.Lock()
	c.target.runs[id]++
	c.target.mu.Unlock()
	body := "ran " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", headerID, id, headerSeal, len(body), body)
}

// refusal returns a refusal of the request with an id; it echoes none if that is empty.
func refusal(id string) string {
	echo := ""
	if id != "" {
		echo = headerID + ": " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + echo + headerNotExecuted + ": 1\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\nfull"
}

func (target *rawTarget) runCount(id string) int {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.runs[id]
}

func (target *rawTarget) sendCount(id string) int {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.sends[id]
}

func (target *rawTarget) connCount() int {
	target.mu.Lock()
	defer target.mu.Unlock()
	return target.conns
}

// oneTarget sends all requests to the same target, over the same connections.
type oneTarget struct {
	client *upstream.Client
	host   string
}

func (s oneTarget) Send(ctx context.Context, _ upstream.Address, r *upstream.Request) (*http.Response, error) {
	return s.client.Send(ctx, upstream.Address{ID: "i-0", Host: s.host}, r)
}

// newRawTarget returns a gateway whose only target responds to each request as scripted.
func newRawTarget(t *testing.T, kind catalog.Kind, respond func(c *rawConn, r *http.Request)) (*testGateway, *rawTarget) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &rawTarget{listener: l, respond: respond, sends: make(map[string]int), runs: make(map[string]int)}
	go target.accept()
	t.Cleanup(func() { l.Close() })
	g := newTestGateway(t, newRoute(kind))
	g.gateway.Sender = oneTarget{upstream.NewClient(upstream.NewDial(), func() {}), l.Addr().String()}
	return g, target
}

func (target *rawTarget) accept() {
	for {
		conn, err := target.listener.Accept()
		if err != nil {
			return
		}
		target.mu.Lock()
		target.conns++
		target.mu.Unlock()
		go target.serve(&rawConn{Conn: conn, target: target})
	}
}

func (target *rawTarget) serve(c *rawConn) {
	defer c.Close()
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		target.mu.Lock()
		target.sends[r.Header.Get(headerID)]++
		target.mu.Unlock()
		target.respond(c, r)
	}
}

func (g *testGateway) sendID(t *testing.T, id string) callerResponse {
	t.Helper()
	return g.send(t, t.Context(), func(r *http.Request) {
		r.Header.Del(headerID)
		if id != "" {
			r.Header.Set(headerID, id)
		}
	})
}

// A refusal that a target writes once more, on a connection that carries another
// request by then, says nothing of that request.
func TestACopyOfARefusalDoesNotAnswerAnotherRequest(t *testing.T) {
	const pause = 20 * time.Millisecond // Lets what was written arrive on its own.
	for _, c := range []struct {
		name string
		// respond runs the request and writes its response and copies of the refusal.
		respond func(c *rawConn, id string)
		answer  bool
	}{
		{"before the answer", func(c *rawConn, id string) { c.write(refusal("old") + c.run(id)) }, true},
		{"twice before the answer", func(c *rawConn, id string) { c.write(refusal("old") + refusal("old") + c.run(id)) }, true},
		{"during the run", func(c *rawConn, id string) {
			answer := c.run(id)
			c.write(refusal("old"))
			time.Sleep(pause)
			c.write(answer)
		}, true},
		{"with its head in two parts", func(c *rawConn, id string) {
			answer := c.run(id)
			copied := refusal("old")
			c.write(copied[:40])
			time.Sleep(pause)
			c.write(copied[40:] + answer)
		}, true},
		{"after an informational response", func(c *rawConn, id string) {
			c.write("HTTP/1.1 102 Processing\r\n\r\n" + refusal("old") + c.run(id))
		}, true},
		{"without an id", func(c *rawConn, id string) { c.write(refusal("") + c.run(id)) }, true},
		{"after the answer", func(c *rawConn, id string) { c.write(c.run(id) + refusal("old")) }, true},
		{"in place of the answer", func(c *rawConn, id string) { c.run(id); c.write(refusal("old")); c.Close() }, false},
		{"in place of the answer, without an id", func(c *rawConn, id string) { c.run(id); c.write(refusal("")); c.Close() }, false},
		{"again and again", func(c *rawConn, id string) {
			c.run(id)
			for range 20 {
				c.write(refusal("old"))
			}
		}, false},
		{"between the chunks of the answer", func(c *rawConn, id string) {
			c.run(id)
			c.write("HTTP/1.1 200 OK\r\n" + headerID + ": " + id + "\r\n" + headerSeal + ": s\r\nTransfer-Encoding: chunked\r\n\r\n" +
				"4\r\nran \r\n" + refusal("old") + "3\r\nnew\r\n0\r\n\r\n")
		}, false},
		{"in the head of the answer", func(c *rawConn, id string) {
			answer := c.run(id)
			c.write(answer[:30] + refusal("old") + answer[30:])
		}, false},
		{"in a line of the answer's head", func(c *rawConn, id string) {
			c.run(id)
			c.write("HTTP/1.1 200 OK\r\n" + headerID + ": " + id + "\r\n" + headerSeal + ": s\r\nX-Other: " + refusal("old"))
			c.Close()
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g, target := newRawTarget(t, catalog.NonIdempotent, func(conn *rawConn, r *http.Request) {
				switch id := r.Header.Get(headerID); {
				case id == "old" && conn.target.sendCount(id) == 1:
					conn.write(refusal(id))
				case id == "new":
					c.respond(conn, id)
				default:
					conn.write(conn.run(id))
				}
			})
			is.Equal(g.sendID(t, "old").body, "ran old") // refused once, then run
			conns := target.connCount()
			got := g.sendID(t, "new")
			is.Equal(target.connCount(), conns) // The connection was kept.
			is.Equal(target.runCount("new"), 1)
			if c.answer {
				is.NoErr(got.err)
				is.Equal(got.body, "ran new")
			} else {
				is.True(got.err != nil || got.status == 502)
			}
		})
	}
}

// A connection on which a refusal arrived carries no further request, so that a copy of
// it cannot meet the same request, sent again by a caller who reuses its id.
func TestAConnectionWithARefusalIsNotUsedAgain(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.NonIdempotent, catalog.Idempotent} {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			refused := make(map[*rawConn]bool)
			var mu sync.Mutex
			g, target := newRawTarget(t, kind, func(c *rawConn, r *http.Request) {
				id := r.Header.Get(headerID)
				mu.Lock()
				again := refused[c]
				refused[c] = refused[c] || c.target.sendCount(id) <= targets
				refuse := refused[c]
				mu.Unlock()
				switch {
				case again:
					answer := c.run(id)
					c.write(refusal(id) + answer)
				case refuse:
					c.write(refusal(id))
				default:
					c.write(c.run(id))
				}
			})
			is.Equal(g.sendID(t, "reused").status, 503) // refused at all targets
			is.Equal(target.runCount("reused"), 0)
			is.Equal(g.sendID(t, "reused").body, "ran reused")
			is.Equal(target.runCount("reused"), 1)
			is.Equal(target.connCount(), targets+1)
		})
	}
}

// An answer without an id that comes late must not be taken for that to a request
// without one.
func TestARequestWithoutAnIDIsNotAnsweredByAnEarlierAnswer(t *testing.T) {
	is := is.New(t)
	g, _ := newRawTarget(t, catalog.NonIdempotent, func(c *rawConn, r *http.Request) {
		id := r.Header.Get(headerID)
		if id != "" {
			c.write(c.run(id))
			return
		}
		late := ""
		if c.target.sendCount("earlier") > 0 && c.target.connCount() == 1 {
			late = "HTTP/1.1 200 OK\r\n" + headerSeal + ": s\r\nContent-Length: 7\r\n\r\nearlier"
		}
		c.write(late + "HTTP/1.1 400 Bad Request\r\n" + headerNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n")
	})
	is.Equal(g.sendID(t, "earlier").status, 200)
	got := g.sendID(t, "")
	is.NoErr(got.err)
	is.Equal(got.status, 400)
}

// The answer to a HEAD request states the length of a body that does not come.
func TestTheAnswerToAHeadRequestIsNotCut(t *testing.T) {
	is := is.New(t)
	g, target := newRawTarget(t, catalog.Idempotent, func(c *rawConn, r *http.Request) {
		answer, _, _ := strings.Cut(c.run(r.Header.Get(headerID)), "\r\n\r\n")
		c.write(answer + "\r\n\r\n")
	})
	got := g.send(t, t.Context(), func(r *http.Request) { r.Method = http.MethodHead })
	is.NoErr(got.err)
	is.Equal(got.status, 200)
	is.Equal(got.header.Get("Content-Length"), "8") // as the target stated it
	is.Equal(target.runCount("id-1"), 1)
}

// An answer with neither length nor chunks ends with its connection. If that is reset, the
// answer does not look complete, also if what came of it does.
func TestAResetAnswerWithoutLengthDoesNotLookComplete(t *testing.T) {
	for _, c := range []struct {
		name, contentType, body string
		kind                    catalog.Kind
	}{
		{"answer", "text/plain", "a part", catalog.NonIdempotent},
		{"long answer", "text/plain", strings.Repeat("0123456789", 50_000), catalog.NonIdempotent},
		{"stream", "text/event-stream", streamEvents(1, 3), catalog.Streaming},
		{"stream without events", "text/event-stream", "", catalog.Streaming},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g, target := newRawTarget(t, c.kind, func(conn *rawConn, r *http.Request) {
				id := r.Header.Get(headerID)
				conn.run(id)
				conn.write("HTTP/1.1 200 OK\r\n" + headerID + ": " + id + "\r\n" + headerSeal + ": s\r\nContent-Type: " + c.contentType + "\r\n\r\n" + c.body)
				time.Sleep(100 * time.Millisecond) // Lets the bytes arrive before the reset.
				_ = conn.Conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			})
			raw := g.exchangeRaw(t, false)
			is.True(!strings.HasSuffix(raw, "\r\n0\r\n\r\n"))
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
			is.NoErr(err)
			_, err = io.ReadAll(resp.Body)
			is.True(err != nil || resp.StatusCode == http.StatusBadGateway)
			is.Equal(target.runCount("id-1"), 1)
		})
	}
}
