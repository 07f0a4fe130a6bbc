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

// target is a scripted target: each connection is served by the script.
type target struct {
	address upstream.Address
	conns   atomic.Int32
}

// peer is one connection as the target sees it.
type peer struct {
	net.Conn
	reader *bufio.Reader
	number int
}

// request reads one request with its body.
func (p *peer) request() (*http.Request, string, error) {
	r, err := http.ReadRequest(p.reader)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

func (p *peer) say(text string) { fmt.Fprint(p.Conn, text) }

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func startTarget(t *testing.T, script func(p *peer)) *target {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tg := &target{address: upstream.Address{ID: "i-1", Host: l.Addr().String()}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(tg.conns.Add(1))
			go func() {
				defer c.Close()
				script(&peer{Conn: c, reader: bufio.NewReader(c), number: n})
			}()
		}
	}()
	t.Cleanup(func() { l.Close() })
	return tg
}

func newClient(t *testing.T) *upstream.Client {
	t.Helper()
	c := upstream.NewClient(func() {})
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
		Belongs: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

// roundTrip sends a request and reads the whole answer.
func roundTrip(t *testing.T, c *upstream.Client, tg *target, id string) (string, error) {
	t.Helper()
	resp, err := c.Send(t.Context(), tg.address, request(id))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func echo(p *peer) {
	for {
		r, body, err := p.request()
		if err != nil {
			return
		}
		p.say(answer(r.Header.Get("Id"), body))
	}
}

func TestRequestsArriveUnchangedAndConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	var seen *http.Request
	tg := startTarget(t, func(p *peer) {
		for {
			r, body, err := p.request()
			if err != nil {
				return
			}
			seen = r
			p.say(answer(r.Header.Get("Id"), body))
		}
	})
	c := newClient(t)
	for i := range 5 {
		id := fmt.Sprint(i)
		body, err := roundTrip(t, c, tg, id)
		is.NoErr(err)
		is.Equal(body, "body-"+id)
	}
	is.Equal(tg.conns.Load(), int32(1))
	is.Equal(seen.RequestURI, "/a/b?x=1")
	is.Equal(seen.Host, "farm.example")
}

func TestAFreshConnectionIsNotAReusedOne(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, echo)
	c := newClient(t)
	_, err := roundTrip(t, c, tg, "1")
	is.NoErr(err)
	r := request("2")
	r.Fresh = true
	resp, err := c.Send(t.Context(), tg.address, r)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(tg.conns.Load(), int32(2))
}

func TestAnAnswerToAnEarlierRequestIsSkippedAndItsConnectionLeft(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(p *peer) {
		for {
			r, body, err := p.request()
			if err != nil {
				return
			}
			if r.Header.Get("Id") == "2" {
				p.say(answer("1", "late extra answer"))
			}
			p.say(answer(r.Header.Get("Id"), body))
		}
	})
	c := newClient(t)
	for i, id := range []string{"1", "2", "3"} {
		body, err := roundTrip(t, c, tg, id)
		is.NoErr(err)
		is.Equal(body, "body-"+id)
		is.Equal(tg.conns.Load(), []int32{1, 1, 2}[i])
	}
}

func TestAConnectionWithUnaskedBytesIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	said := make(chan struct{}, 1)
	tg := startTarget(t, func(p *peer) {
		r, body, err := p.request()
		if err != nil {
			return
		}
		p.say(answer(r.Header.Get("Id"), body))
		if p.number == 1 {
			time.Sleep(20 * time.Millisecond) // After the answer was read.
			p.say(answer("1", "unasked"))
			said <- struct{}{}
		}
		echo(p)
	})
	c := newClient(t)
	_, err := roundTrip(t, c, tg, "1")
	is.NoErr(err)
	<-said
	time.Sleep(20 * time.Millisecond) // Lets the bytes arrive.
	body, err := roundTrip(t, c, tg, "2")
	is.NoErr(err)
	is.Equal(body, "body-2")
	is.Equal(tg.conns.Load(), int32(2))
}

func TestAConnectionThatItsTargetClosedIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(p *peer) {
		if r, body, err := p.request(); err == nil {
			p.say(answer(r.Header.Get("Id"), body))
		}
	})
	c := newClient(t)
	for i := range 3 {
		_, err := roundTrip(t, c, tg, fmt.Sprint(i))
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond) // Lets the close arrive.
	}
	is.Equal(tg.conns.Load(), int32(3))
}

func TestFailuresSayWhetherAnythingWasSent(t *testing.T) {
	for name, script := range map[string]func(p *peer){
		"closed without an answer": func(p *peer) { _, _, _ = p.request() },
		"garbage":                  func(p *peer) { _, _, _ = p.request(); p.say("once upon a time\r\n\r\n") },
		"cut in the head":          func(p *peer) { _, _, _ = p.request(); p.say("HTTP/1.1 200 OK\r\nId: 1\r\n") },
		"only answers of others": func(p *peer) {
			_, _, _ = p.request()
			for range 10 {
				p.say(answer("x", "y"))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tg := startTarget(t, script)
			_, err := roundTrip(t, newClient(t), tg, "1")
			var failed *upstream.SendError
			is.True(errors.As(err, &failed))
			is.True(failed.Sent)
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
		is := is.New(t)
		tg := startTarget(t, echo)
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		is.NoErr(err)
		l.Close()
		tg.address.Host = l.Addr().String()
		_, err = roundTrip(t, newClient(t), tg, "1")
		var failed *upstream.SendError
		is.True(errors.As(err, &failed))
		is.True(!failed.Sent)
	})
}

// A request on a kept connection that the target resets is never sent again by
// the client, whatever its method.
func TestARequestIsSentOnceOnly(t *testing.T) {
	is := is.New(t)
	var got atomic.Int32
	tg := startTarget(t, func(p *peer) {
		for {
			r, body, err := p.request()
			if err != nil {
				return
			}
			if r.Header.Get("Id") == "2" {
				got.Add(1)
				return
			}
			p.say(answer(r.Header.Get("Id"), body))
		}
	})
	c := newClient(t)
	_, err := roundTrip(t, c, tg, "1")
	is.NoErr(err)
	r := request("2")
	r.Method, r.Body = "GET", nil
	_, err = c.Send(t.Context(), tg.address, r)
	var failed *upstream.SendError
	is.True(errors.As(err, &failed))
	is.True(failed.Sent && failed.Reset)
	is.Equal(got.Load(), int32(1))
}

func TestAnAnswerThatEndsEarlyIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 50\r\n\r\nshort",
		"in chunks":     "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			tg := startTarget(t, func(p *peer) { _, _, _ = p.request(); p.say(head) })
			body, err := roundTrip(t, newClient(t), tg, "1")
			is := is.New(t)
			is.True(errors.Is(err, upstream.ErrCut))
			is.Equal(body, "short")
		})
	}
}

func TestAnAnswerWithoutALengthEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(p *peer) {
		_, _, _ = p.request()
		p.say("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it")
	})
	body, err := roundTrip(t, newClient(t), tg, "1")
	is.NoErr(err)
	is.Equal(body, "all of it")
}

func TestAnAnswerWithoutALengthThatIsResetIsNotComplete(t *testing.T) {
	tg := startTarget(t, func(p *peer) {
		_, _, _ = p.request()
		p.say("HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
		time.Sleep(20 * time.Millisecond) // Lets the part arrive first.
		_ = p.Conn.(*net.TCPConn).SetLinger(0)
	})
	_, err := roundTrip(t, newClient(t), tg, "1")
	is.New(t).True(errors.Is(err, upstream.ErrCut))
}

// A target may answer before it has read a long body. The rest of the body must
// not be taken for the next request, nor the next request for the rest.
func TestAnEarlyAnswerDoesNotMixTwoRequests(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(p *peer) {
		if p.number > 1 {
			echo(p)
			return
		}
		r, err := http.ReadRequest(p.reader)
		if err != nil {
			return
		}
		p.say(answer(r.Header.Get("Id"), "early"))
		time.Sleep(50 * time.Millisecond) // The client has its answer by now.
		_, _ = io.Copy(io.Discard, r.Body)
		echo(p)
	})
	c := newClient(t)
	r := request("1")
	r.Body = []byte(strings.Repeat("x", 8<<20))
	resp, err := c.Send(t.Context(), tg.address, r)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "early")
	resp.Body.Close()
	second, err := roundTrip(t, c, tg, "2")
	is.NoErr(err)
	is.Equal(second, "body-2")
}

func TestTheEndOfTheContextEndsARequestAtItsTarget(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	tg := startTarget(t, func(p *peer) {
		_, _, _ = p.request()
		p.say("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
		_, _ = p.reader.ReadByte()
		close(gone)
	})
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := newClient(t).Send(ctx, tg.address, request("1"))
	is.NoErr(err)
	defer resp.Body.Close()
	cancel()
	select {
	case <-gone:
	case <-time.After(5 * time.Second):
		t.Fatal("the target still holds the request")
	}
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
}

func TestTheTargetsKeepAliveTimeIsKept(t *testing.T) {
	is := is.New(t)
	tg := startTarget(t, func(p *peer) {
		for {
			r, body, err := p.request()
			if err != nil {
				return
			}
			p.say(fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=0\r\nContent-Length: %d\r\n\r\n%s",
				r.Header.Get("Id"), len(body), body))
		}
	})
	c := newClient(t)
	for i := range 2 {
		_, err := roundTrip(t, c, tg, fmt.Sprint(i))
		is.NoErr(err)
	}
	is.Equal(tg.conns.Load(), int32(2))
}

// A target that forgets connections without a word costs one request; the next
// ones go over connections that have rested for less.
func TestConnectionsThatRestTooLongAreNotUsedAgainAfterAReset(t *testing.T) {
	is := is.New(t)
	const forgets = 200 * time.Millisecond
	tg := startTarget(t, func(p *peer) {
		for last := time.Now(); ; last = time.Now() {
			r, _, err := p.request()
			if err != nil {
				return
			}
			if time.Since(last) > forgets {
				// Closing without lingering resets the connection.
				_ = p.Conn.(*net.TCPConn).SetLinger(0)
				return
			}
			p.say(answer(r.Header.Get("Id"), "ok"))
		}
	})
	c := newClient(t)
	failed := 0
	for i := range 6 {
		if _, err := roundTrip(t, c, tg, fmt.Sprint("id-", i)); err != nil {
			failed++
		}
		time.Sleep(forgets * 3 / 2)
	}
	is.Equal(failed, 1)
	// Connections that rest for a short time are still reused.
	before := tg.conns.Load()
	for i := range 3 {
		_, err := roundTrip(t, c, tg, fmt.Sprint("quick-", i))
		is.NoErr(err)
	}
	is.True(tg.conns.Load()-before <= 1)
}
