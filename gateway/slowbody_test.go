package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// Bodies that stop just short of their end kept what they took of the budget, so that no body
// of a legal size had room beside them.
func TestStalledBodyGivesWayToOthers(t *testing.T) {
	for name, length := range map[string]int64{"of a known length": 4 << 20, "of an unknown length": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newBodyGateway(t)
			stalled := newHeldBody(4<<20 - 1)
			var sending sync.WaitGroup
			var first callerResponse
			sending.Go(func() { first = g.post(t, "stalled", stalled, length) })
			time.Sleep(2500 * time.Millisecond) // Longer than the time over which its pace is judged.
			is.Equal(g.post(t, "whole", strings.NewReader(strings.Repeat("x", 4<<20)), 4<<20).status, 200)
			stalled.finish()
			sending.Wait()
			is.True(first.err != nil || first.status == 503 && first.header.Get("Retry-After") != "")
			is.Equal(g.gateway.BodyBytesUsed(), int64(0))
		})
	}
}

// A body that comes steadily keeps its place, however long it takes.
func TestSlowBodyThatGoesOnDoesNotGiveWay(t *testing.T) {
	is := is.New(t)
	g := newBodyGateway(t)
	rest, writer := io.Pipe()
	var sending sync.WaitGroup
	sending.Go(func() {
		body := io.MultiReader(strings.NewReader(strings.Repeat("x", 4<<20-64*4<<10)), rest)
		is.Equal(g.post(t, "slow", body, 4<<20).status, 200)
	})
	for i := range 64 { // At 80 KiB a second.
		_, err := writer.Write([]byte(strings.Repeat("x", 4<<10)))
		is.NoErr(err)
		time.Sleep(50 * time.Millisecond)
		if i == 50 {
			is.Equal(g.post(t, "other", strings.NewReader(strings.Repeat("x", 4<<20)), 4<<20).status, 503)
		}
	}
	sending.Wait()
}

// A refusal was held back until 256 KiB of the body or all of it had come, without a bound.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	for _, size := range []int{10, 100 << 10, 10 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, newRoute(catalog.NonIdempotent))
			conn, err := net.Dial("tcp4", g.server.Listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			fmt.Fprintf(conn, "POST /no-route HTTP/1.1\r\nHost: farm.example\r\nContent-Length: %d\r\n\r\nx", size)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, 404)
		})
	}
}

// The connection of a caller whose small body came with its head is not lost to a refusal.
func TestConnectionIsKeptAfterARefusalIfTheBodyIsThere(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.NonIdempotent))
	conn, err := net.Dial("tcp4", g.server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
	answers := bufio.NewReader(conn)
	for range 3 {
		fmt.Fprint(conn, "POST /no-route HTTP/1.1\r\nHost: farm.example\r\nContent-Length: 4\r\n\r\nbody")
		resp, err := http.ReadResponse(answers, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, 404)
		is.True(!resp.Close)
		time.Sleep(50 * time.Millisecond) // Longer than the rest of a body is waited for.
	}
}

// endlessCaller is a caller whose body never ends. Its reads keep to their deadline.
type endlessCaller struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

// SetReadDeadline is called by http.ResponseController.
func (c *endlessCaller) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// Read implements io.Reader.
func (c *endlessCaller) Read([]byte) (int, error) {
	time.Sleep(time.Until(c.deadline))
	return 0, os.ErrDeadlineExceeded
}

// A body that does not end kept its request for as long as its connection stayed open.
func TestBodyThatDoesNotEndIsRefused(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.NonIdempotent))
	synctest.Test(t, func(t *testing.T) {
		caller := &endlessCaller{ResponseRecorder: httptest.NewRecorder()}
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/walks/1", io.NopCloser(caller))
		r.Host, r.ContentLength = "farm.example", 100
		r.Header.Set("Api-Key", apiKey)
		began := time.Now()
		g.gateway.ServeHTTP(caller, r)
		is.Equal(caller.Code, 408)
		is.True(time.Since(began) < time.Minute)
	})
	is.Equal(len(g.sender.sent()), 0)
}
