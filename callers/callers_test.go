package callers_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/callers"
)

const head = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"

// startServer starts a server whose handler takes a time and then closes the connection if
// it is asked to.
func startServer(t *testing.T, takes time.Duration) (*callers.Server, net.Addr) {
	t.Helper()
	return startServerWith(t, takes, callers.Options{})
}

func startServerWith(t *testing.T, takes time.Duration, options callers.Options) (*callers.Server, net.Addr) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(takes)
		if r.Header.Get("Last") != "" {
			w.Header().Set("Connection", "close")
		}
		if _, err := io.Copy(w, r.Body); err != nil {
			t.Error(err)
		}
	})
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	s := callers.NewServer(server, l, options)
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	t.Cleanup(func() {
		server.Close()
		if err := <-served; !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return s, l.Addr()
}

type caller struct {
	net.Conn
	reader *bufio.Reader
}

func connect(t *testing.T, to net.Addr) *caller {
	t.Helper()
	c, err := net.Dial("tcp4", to.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &caller{c, bufio.NewReader(c)}
}

func (c *caller) answer() (string, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// stop begins a stop with a time for heads and one for all, and waits a moment.
func stop(s *callers.Server, heads, all time.Duration) <-chan error {
	stopped := make(chan error, 1)
	go func() {
		headCtx, cancelHeads := context.WithTimeout(context.Background(), heads)
		defer cancelHeads()
		ctx, cancel := context.WithTimeout(context.Background(), all)
		defer cancel()
		stopped <- s.Stop(ctx, headCtx)
	}()
	time.Sleep(100 * time.Millisecond)
	return stopped
}

func TestRequestThatBeganBeforeAStopIsAnswered(t *testing.T) {
	for _, used := range []bool{false, true} {
		for name, sent := range map[string]string{"one byte": head[:1], "part of the head": head, "a part of the body": head + "Last: 1\r\n\r\nbo"} {
			t.Run(fmt.Sprint(name, ", used before: ", used), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s, address := startServer(t, 0)
				c := connect(t, address)
				if used {
					fmt.Fprint(c, head+"\r\nbody")
					got, err := c.answer()
					is.NoErr(err)
					is.Equal(got, "body")
				}
				fmt.Fprint(c, sent)
				time.Sleep(50 * time.Millisecond) // The bytes arrive.
				stopped := stop(s, 5*time.Second, 5*time.Second)
				fmt.Fprint(c, (head + "Last: 1\r\n\r\nbody")[len(sent):])
				got, err := c.answer()
				is.NoErr(err)
				is.Equal(got, "body")
				is.NoErr(<-stopped)
			})
		}
	}
}

func TestStopClosesConnectionsWithoutARequestAndWaitsForAnswers(t *testing.T) {
	is := is.New(t)
	s, address := startServer(t, 300*time.Millisecond)
	idle, busy := connect(t, address), connect(t, address)
	for _, c := range []*caller{idle, busy} {
		fmt.Fprint(c, head+"\r\nbody")
		_, err := c.answer()
		is.NoErr(err)
	}
	fmt.Fprint(busy, head+"\r\nbody")
	time.Sleep(50 * time.Millisecond) // The request arrives.
	stopped := stop(s, 5*time.Second, 5*time.Second)
	_, err := idle.answer()
	is.True(err != nil)
	is.Equal(len(stopped), 0)
	got, err := busy.answer()
	is.NoErr(err)
	is.Equal(got, "body")
	_, err = busy.answer()
	is.True(err != nil) // Closed although the answer did not say so.
	is.NoErr(<-stopped)
}

func TestStopWaitsForPartOfARequestNoLongerThanItIsTold(t *testing.T) {
	is := is.New(t)
	s, address := startServer(t, 0)
	c := connect(t, address)
	fmt.Fprint(c, head)
	time.Sleep(50 * time.Millisecond) // The bytes arrive.
	is.NoErr(<-stop(s, 200*time.Millisecond, 5*time.Second))
	_, err := c.answer()
	is.True(err != nil)
}

func TestStopEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	s, address := startServer(t, time.Second)
	c := connect(t, address)
	fmt.Fprint(c, head+"\r\nbody")
	time.Sleep(50 * time.Millisecond) // The request arrives.
	is.True(errors.Is(<-stop(s, 100*time.Millisecond, 200*time.Millisecond), context.DeadlineExceeded))
	_, err := c.answer()
	is.True(err != nil)
}

// The answer of a stream that began before a stop cannot announce that its connection closes.
func TestNextRequestAfterAnAnswerThatEndsInAStopIsAnswered(t *testing.T) {
	is := is.New(t)
	s, to := startServer(t, 300*time.Millisecond)
	c := connect(t, to)
	_, err := fmt.Fprint(c, head+"\r\nbody")
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(t.Context(), t.Context()) }()
	_, err = c.answer()
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	_, err = fmt.Fprint(c, head+"Last: 1\r\n\r\nbody")
	is.NoErr(err)
	_, err = c.answer()
	is.NoErr(err)
	is.NoErr(<-stopped)
}
