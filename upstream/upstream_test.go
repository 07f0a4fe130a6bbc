package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/upstream"
)

// testTarget is a target that runs a script on each of its connections.
type testTarget struct {
	address upstream.Address
	conns   atomic.Int32
}

// targetConn is the target's side of a connection.
type targetConn struct {
	net.Conn
	reader *bufio.Reader
	number int
}

// request reads one request with its body.
func (conn *targetConn) request() (*http.Request, string, error) {
	r, err := http.ReadRequest(conn.reader)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

func (conn *targetConn) write(text string) { fmt.Fprint(conn.Conn, text) }

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func startTarget(t *testing.T, script func(conn *targetConn)) *testTarget {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := &testTarget{address: upstream.Address{ID: "i-1", Host: l.Addr().String()}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(target.conns.Add(1))
			go func() {
				defer c.Close()
				script(&targetConn{Conn: c, reader: bufio.NewReader(c), number: n})
			}()
		}
	}()
	t.Cleanup(func() { l.Close() })
	return target
}

func newClient(t *testing.T) *upstream.Client {
	t.Helper()
	c := upstream.NewClient(upstream.NewDial(), func() {})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		c.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c
}

func request(id string) *upstream.Request {
	return &upstream.Request{
		Method: "POST", URI: "/a/b?x=1", Host: "farm.example", Header: http.Header{"Id": {id}}, Body: []byte("body-" + id),
		Matches: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

// roundTrip sends a request and reads the whole response.
func roundTrip(t *testing.T, c *upstream.Client, target *testTarget, id string) (string, error) {
	t.Helper()
	resp, err := c.Send(t.Context(), target.address, request(id))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func echo(conn *targetConn) {
	for {
		r, body, err := conn.request()
		if err != nil {
			return
		}
		conn.write(response(r.Header.Get("Id"), body))
	}
}

func TestRequestsArriveUnchangedAndConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	var seen *http.Request
	target := startTarget(t, func(conn *targetConn) {
		for {
			r, body, err := conn.request()
			if err != nil {
				return
			}
			seen = r
			conn.write(response(r.Header.Get("Id"), body))
		}
	})
	c := newClient(t)
	for i := range 5 {
		id := fmt.Sprint(i)
		body, err := roundTrip(t, c, target, id)
		is.NoErr(err)
		is.Equal(body, "body-"+id)
	}
	is.Equal(target.conns.Load(), int32(1))
	is.Equal(seen.RequestURI, "/a/b?x=1")
	is.Equal(seen.Host, "farm.example")
}

func TestNewConnOpensANewConnection(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, echo)
	c := newClient(t)
	_, err := roundTrip(t, c, target, "1")
	is.NoErr(err)
	r := request("2")
	r.NewConn = true
	resp, err := c.Send(t.Context(), target.address, r)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(target.conns.Load(), int32(2))
}

func TestAResponseToAnEarlierRequestIsSkippedAndItsConnectionNotReused(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, func(conn *targetConn) {
		for {
			r, body, err := conn.request()
			if err != nil {
				return
			}
			if r.Header.Get("Id") == "2" {
				conn.write(response("1", "late extra answer"))
			}
			conn.write(response(r.Header.Get("Id"), body))
		}
	})
	c := newClient(t)
	for i, id := range []string{"1", "2", "3"} {
		body, err := roundTrip(t, c, target, id)
		is.NoErr(err)
		is.Equal(body, "body-"+id)
		is.Equal(target.conns.Load(), []int32{1, 1, 2}[i])
	}
}

func TestAConnectionWithUnsolicitedBytesIsNotReused(t *testing.T) {
	is := is.New(t)
	unsolicitedSent := make(chan struct{}, 1)
	target := startTarget(t, func(conn *targetConn) {
		r, body, err := conn.request()
		if err != nil {
			return
		}
		conn.write(response(r.Header.Get("Id"), body))
		if conn.number == 1 {
			time.Sleep(20 * time.Millisecond) // The response has been read by now.
			conn.write(response("1", "unasked"))
			unsolicitedSent <- struct{}{}
		}
		echo(conn)
	})
	c := newClient(t)
	_, err := roundTrip(t, c, target, "1")
	is.NoErr(err)
	<-unsolicitedSent
	time.Sleep(20 * time.Millisecond) // Waits for the bytes to arrive.
	body, err := roundTrip(t, c, target, "2")
	is.NoErr(err)
	is.Equal(body, "body-2")
	is.Equal(target.conns.Load(), int32(2))
}

func TestAConnectionThatItsTargetClosedIsNotReused(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, func(conn *targetConn) {
		if r, body, err := conn.request(); err == nil {
			conn.write(response(r.Header.Get("Id"), body))
		}
	})
	c := newClient(t)
	for i := range 3 {
		_, err := roundTrip(t, c, target, fmt.Sprint(i))
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond) // Waits for the close to arrive.
	}
	is.Equal(target.conns.Load(), int32(3))
}

func TestErrorsReportWhetherAnythingWasSent(t *testing.T) {
	for name, script := range map[string]func(conn *targetConn){
		"closed without an answer": func(conn *targetConn) { _, _, _ = conn.request() },
		"garbage":                  func(conn *targetConn) { _, _, _ = conn.request(); conn.write("once upon a time\r\n\r\n") },
		"cut in the head":          func(conn *targetConn) { _, _, _ = conn.request(); conn.write("HTTP/1.1 200 OK\r\nId: 1\r\n") },
		"only answers of others": func(conn *targetConn) {
			_, _, _ = conn.request()
			for range 10 {
				conn.write(response("x", "y"))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := startTarget(t, script)
			_, err := roundTrip(t, newClient(t), target, "1")
			var failed *upstream.SendError
			is.True(errors.As(err, &failed))
			is.True(failed.Sent)
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
		is := is.New(t)
		target := startTarget(t, echo)
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		is.NoErr(err)
		l.Close()
		target.address.Host = l.Addr().String()
		_, err = roundTrip(t, newClient(t), target, "1")
		var failed *upstream.SendError
		is.True(errors.As(err, &failed))
		is.True(!failed.Sent)
	})
}

// The client never resends a request whose reused connection the target closes,
// whatever its method.
func TestARequestIsSentOnceOnly(t *testing.T) {
	is := is.New(t)
	var got atomic.Int32
	target := startTarget(t, func(conn *targetConn) {
		for {
			r, body, err := conn.request()
			if err != nil {
				return
			}
			if r.Header.Get("Id") == "2" {
				got.Add(1)
				return
			}
			conn.write(response(r.Header.Get("Id"), body))
		}
	})
	c := newClient(t)
	_, err := roundTrip(t, c, target, "1")
	is.NoErr(err)
	r := request("2")
	r.Method, r.Body = "GET", nil
	_, err = c.Send(t.Context(), target.address, r)
	var failed *upstream.SendError
	is.True(errors.As(err, &failed))
	is.True(failed.Sent && failed.PeerClosed)
	is.Equal(got.Load(), int32(1))
}

func TestATruncatedResponseIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 50\r\n\r\nshort",
		"in chunks":     "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target := startTarget(t, func(conn *targetConn) { _, _, _ = conn.request(); conn.write(head) })
			body, err := roundTrip(t, newClient(t), target, "1")
			is := is.New(t)
			is.True(errors.Is(err, upstream.ErrTruncated))
			is.Equal(body, "short")
		})
	}
}

func TestAResponseWithoutALengthEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, func(conn *targetConn) {
		_, _, _ = conn.request()
		conn.write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it")
	})
	body, err := roundTrip(t, newClient(t), target, "1")
	is.NoErr(err)
	is.Equal(body, "all of it")
}

func TestAResponseWithoutALengthIsTruncatedByAReset(t *testing.T) {
	target := startTarget(t, func(conn *targetConn) {
		_, _, _ = conn.request()
		conn.write("HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
		time.Sleep(20 * time.Millisecond) // The partial body has to arrive before the reset.
		_ = conn.Conn.(*net.TCPConn).SetLinger(0)
	})
	_, err := roundTrip(t, newClient(t), target, "1")
	is.New(t).True(errors.Is(err, upstream.ErrTruncated))
}

// A target may respond before it has read a long body. The rest of the body must
// not be taken for the next request, nor the next request for the rest.
func TestAnEarlyResponseDoesNotMixTwoRequests(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, func(conn *targetConn) {
		if conn.number > 1 {
			echo(conn)
			return
		}
		r, err := http.ReadRequest(conn.reader)
		if err != nil {
			return
		}
		conn.write(response(r.Header.Get("Id"), "early"))
		time.Sleep(50 * time.Millisecond) // The client has its response by now.
		_, _ = io.Copy(io.Discard, r.Body)
		echo(conn)
	})
	c := newClient(t)
	r := request("1")
	r.Body = []byte(strings.Repeat("x", 8<<20))
	resp, err := c.Send(t.Context(), target.address, r)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "early")
	resp.Body.Close()
	second, err := roundTrip(t, c, target, "2")
	is.NoErr(err)
	is.Equal(second, "body-2")
}

func TestCancellingTheContextClosesTheConnection(t *testing.T) {
	is := is.New(t)
	connClosed := make(chan struct{})
	target := startTarget(t, func(conn *targetConn) {
		_, _, _ = conn.request()
		conn.write("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
		_, _ = conn.reader.ReadByte()
		close(connClosed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := newClient(t).Send(ctx, target.address, request("1"))
	is.NoErr(err)
	defer resp.Body.Close()
	cancel()
	select {
	case <-connClosed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the target is still open")
	}
	_, err = io.ReadAll(resp.Body)
	is.True(errors.Is(err, upstream.ErrTruncated) && errors.Is(err, context.Canceled))
}

func TestTheTargetsKeepAliveTimeoutIsApplied(t *testing.T) {
	is := is.New(t)
	target := startTarget(t, func(conn *targetConn) {
		for {
			r, body, err := conn.request()
			if err != nil {
				return
			}
			conn.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=0\r\nContent-Length: %d\r\n\r\n%s",
				r.Header.Get("Id"), len(body), body))
		}
	})
	c := newClient(t)
	for i := range 2 {
		_, err := roundTrip(t, c, target, fmt.Sprint(i))
		is.NoErr(err)
	}
	is.Equal(target.conns.Load(), int32(2))
}

// A target that drops idle connections without closing them fails one request; the
// next ones use connections that have been idle for less time.
func TestIdleTimeIsReducedAfterAReset(t *testing.T) {
	is := is.New(t)
	const dropsAfter = 200 * time.Millisecond
	target := startTarget(t, func(conn *targetConn) {
		for last := time.Now(); ; last = time.Now() {
			r, _, err := conn.request()
			if err != nil {
				return
			}
			if time.Since(last) > dropsAfter {
				// Closing without lingering resets the connection.
				_ = conn.Conn.(*net.TCPConn).SetLinger(0)
				return
			}
			conn.write(response(r.Header.Get("Id"), "ok"))
		}
	})
	c := newClient(t)
	failed := 0
	for i := range 6 {
		if _, err := roundTrip(t, c, target, fmt.Sprint("id-", i)); err != nil {
			failed++
		}
		time.Sleep(dropsAfter * 3 / 2)
	}
	is.Equal(failed, 1)
	// Connections that are idle for a short time are still reused.
	before := target.conns.Load()
	for i := range 3 {
		_, err := roundTrip(t, c, target, fmt.Sprint("quick-", i))
		is.NoErr(err)
	}
	is.True(target.conns.Load()-before <= 1)
}

// A target in trouble may send bytes without end that are no response, in place of a
// head or of the body of an earlier response. The request ends after a bounded number
// of them, and the connection is closed.
func TestBytesWithoutEndEndTheRequest(t *testing.T) {
	block := strings.Repeat("a", 4096)
	for name, script := range map[string]struct{ start, repeat string }{
		"one header line":            {"HTTP/1.1 200 OK\r\nId: ", block},
		"header lines":               {"HTTP/1.1 200 OK\r\n", "X: " + block + "\r\n"},
		"bytes that are no response": {"", "\x00\x01garbage"},
		"status line":                {"HTTP/1.1 200 ", block},
		"earlier response's body":    {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + block + "\r\n"},
		"informational responses":    {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			written := make(chan int, 1)
			target := startTarget(t, func(conn *targetConn) {
				if _, _, err := conn.request(); err != nil {
					return
				}
				conn.write(script.start)
				sum := 0
				for {
					n, err := conn.Write([]byte(script.repeat))
					sum += n
					if err != nil {
						written <- sum
						return
					}
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := newClient(t).Send(ctx, target.address, request("1"))
			var sendErr *upstream.SendError
			is.True(errors.As(err, &sendErr))
			is.True(sendErr.Sent)
			is.NoErr(ctx.Err())
			select {
			case sum := <-written:
				is.True(sum < 16<<20) // What was read, and what the sockets hold.
			case <-time.After(5 * time.Second):
				t.Error("the connection stays open")
			}
		})
	}
}

// A second copy of an answer may arrive while the connection carries another request. It
// is neither that request's answer nor a part of it that looks complete.
func TestALateCopyOnAConnectionInUseIsNoPartOfAnAnswer(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
	late := response("1", "late")
	for _, c := range []struct {
		name, bytes string
		// body is that of the answer; it is empty if there is none or it is cut.
		body string
	}{
		{"before the head", late + response("2", "body-2"), "body-2"},
		{"in two copies", late + late + response("2", "body-2"), "body-2"},
		{"before the first chunk", chunked + late + "6\r\nbody-2\r\n0\r\n\r\n", ""},
		{"between two chunks", chunked + "3\r\nbod\r\n" + late + "3\r\ny-2\r\n0\r\n\r\n", ""},
		{"after the last chunk", chunked + "6\r\nbody-2\r\n0\r\n\r\n" + late, "body-2"},
		{"after the answer", response("2", "body-2") + late, "body-2"},
		{"without an end", strings.Replace(late, "Content-Length: 4\r\n", "", 1) + response("2", "body-2"), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			target := startTarget(t, func(conn *targetConn) {
				for {
					r, body, err := conn.request()
					if err != nil {
						return
					}
					if r.Header.Get("Id") == "2" {
						conn.write(c.bytes)
						if c.body == "" {
							return
						}
						continue
					}
					conn.write(response(r.Header.Get("Id"), body))
				}
			})
			client := newClient(t)
			_, err := roundTrip(t, client, target, "1")
			is.NoErr(err)
			body, err := roundTrip(t, client, target, "2")
			is.Equal(target.conns.Load(), int32(1))
			is.Equal(err == nil, c.body != "")
			if err == nil {
				is.Equal(body, c.body)
			}
			body, err = roundTrip(t, client, target, "3")
			is.NoErr(err)
			is.Equal(body, "body-3")
			is.Equal(target.conns.Load(), int32(2)) // not the same connection
		})
	}
}

// Whether a late answer has a body depends on the method of its request, so that beside a
// HEAD request nothing shows where it ends. No bytes of a body are read as an answer.
func TestALateAnswerBesideAHeadRequestHidesNoAnswer(t *testing.T) {
	const notRun = "HTTP/1.1 503 Service Unavailable\r\nId: 2\r\nContent-Length: 0\r\n\r\n"
	head := func(id string, length int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n", id, length)
	}
	ran := response("2", notRun)
	for _, c := range []struct{ name, first, second, bytes string }{
		{"late answer to POST, then HEAD", "POST", "HEAD", response("1", notRun) + head("2", 6)},
		{"late answer to HEAD, then POST", "HEAD", "POST", head("1", len(ran)-len(notRun)) + ran},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			target := startTarget(t, func(conn *targetConn) {
				for {
					r, _, err := conn.request()
					if err != nil {
						return
					}
					switch id := r.Header.Get("Id"); {
					case id == "2" && conn.number == 1:
						conn.write(c.bytes)
					case r.Method == http.MethodHead:
						conn.write(head(id, 6))
					default:
						conn.write(response(id, notRun))
					}
				}
			})
			client := newClient(t)
			send := func(id, method string) (*http.Response, error) {
				r := request(id)
				r.Method = method
				if r.Body = nil; method == "POST" {
					r.Body = []byte("x")
				}
				return client.Send(t.Context(), target.address, r)
			}
			resp, err := send("1", c.first)
			is.NoErr(err)
			_, err = io.Copy(io.Discard, resp.Body)
			is.NoErr(err)
			resp.Body.Close()
			if resp, err = send("2", c.second); err == nil {
				resp.Body.Close()
				is.Equal(resp.StatusCode, 200)
				return
			}
			var failed *upstream.SendError
			is.True(errors.As(err, &failed))
			is.True(failed.Sent)
		})
	}
}

// What frames a body is bounded, too: a chunk's line, its extension, and trailers. A body
// that follows the head of an answer to HEAD is not read.
func TestFramesOfABodyWithoutEndEndTheAnswer(t *testing.T) {
	block := strings.Repeat("a", 4096)
	chunked := "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, script := range map[string]struct {
		method, start, repeat string
		whole                 bool
	}{
		"chunk line":       {"POST", chunked, block, false},
		"chunk extension":  {"POST", chunked + "5;", block, false},
		"tiny chunks":      {"POST", chunked, "1;" + strings.Repeat("e", 2000) + "\r\na\r\n", false},
		"trailer line":     {"POST", chunked + "0\r\nX: ", block, false},
		"trailer lines":    {"POST", chunked + "0\r\n", "X: a\r\n", false},
		"body after HEAD":  {"HEAD", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\n", block, true},
		"after the length": {"POST", "HTTP/1.1 503 Full\r\nId: 1\r\nContent-Length: 1\r\n\r\n", block, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			written := make(chan int, 1)
			target := startTarget(t, func(conn *targetConn) {
				if _, _, err := conn.request(); err != nil {
					return
				}
				sum := 0
				for text := script.start; ; text = script.repeat {
					n, err := conn.Write([]byte(text))
					if sum += n; err != nil {
						written <- sum
						return
					}
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			r := request("1")
			r.Method = script.method
			resp, err := newClient(t).Send(ctx, target.address, r)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.Equal(err == nil, script.whole)
			is.True(len(body) < 64<<10)
			is.NoErr(ctx.Err())
			is.NoErr(resp.Body.Close())
			select {
			case sum := <-written:
				is.True(sum < 16<<20) // What was read, and what the sockets hold.
			case <-time.After(5 * time.Second):
				t.Error("the connection stays open")
			}
		})
	}
}
