package entrytest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/standin/worker"
)

// stopGrace is the grace time of a planned stop in these tests.
const stopGrace = 8 * time.Second

// startStoppingNode starts a node and returns a function that begins its planned stop. At
// the end of the grace time the test's process would be killed: what has not been answered
// by then is cut.
func (env *testEnv) startStoppingNode() (n *node, stop func() (killed <-chan struct{})) {
	env.t.Helper()
	s := env.settings(1)
	s.Bounds.Grace = durationpb.New(stopGrace)
	n = env.startNodeWith(1, s)
	env.waitReady(n)
	return n, func() <-chan struct{} {
		ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
		go func() {
			defer cancel()
			// What the stop returns is no part of the test.
			_ = n.app.Stop(ctx)
		}()
		killed := make(chan struct{})
		time.AfterFunc(stopGrace, func() { close(killed) })
		return killed
	}
}

// rawCaller is a connection that a caller has opened.
type rawCaller struct{ net.Conn }

func (n *node) connect(t *testing.T) rawCaller {
	t.Helper()
	c, err := net.Dial("tcp4", net.JoinHostPort(n.ip, strconv.Itoa(callersPort)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return rawCaller{c}
}

// sendHead sends the head of a request, and sendBody its body.
func (c rawCaller) sendHead(route, id string) {
	fmt.Fprintf(c, "POST /%s/x HTTP/1.1\r\nHost: farm.example\r\nX-Primrosemoor-Attempt-Id: %s\r\nApi-Key: %s\r\n"+
		"X-Primrosemoor-Deadline-Ms: 15000\r\nContent-Length: 4\r\n\r\n", route, id, apiKey)
}

func (c rawCaller) sendBody() { fmt.Fprint(c, "body") }

// status returns the status of a whole answer that comes before the node is killed, or 0
// if the connection ends without one.
func (c rawCaller) status(killed <-chan struct{}) int {
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-killed:
			c.Close()
		case <-done:
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// lateDelay is the time from the beginning of a stop after which no caller is sent to the
// node any more.
const lateDelay = 4 * time.Second

// The whole of a request may be there only late, on a connection that was used in time.
func TestRequestThatComesLateInAPlannedStopIsNotTakenAndCut(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	w := env.startWorkerAs(&worker.Worker{ID: "i-app", Service: "app", ServiceTime: stopGrace})
	n, stop := env.startStoppingNode()
	late := n.connect(t)
	killed := stop()
	late.sendHead("long", "late")
	time.Sleep(lateDelay)
	late.sendBody()
	is.Equal(late.status(killed), 503)
	is.Equal(w.RunCounts()["late"], 0)
}

// A worker may not answer before the grace time ends.
func TestRequestThatIsLeftAtTheEndOfAPlannedStopIsAnswered(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	w := env.startWorker("i-app", "app", 0)
	w.ServiceTime = time.Minute
	n, stop := env.startStoppingNode()
	statuses := make(chan int, 12)
	killed := make(chan struct{})
	for i := range cap(statuses) {
		c := n.connect(t)
		go func() {
			c.sendHead("long", fmt.Sprint("id-", i))
			c.sendBody()
			statuses <- c.status(killed)
		}()
	}
	env.waitFor("the worker is full", func() bool { return len(w.RunCounts()) == w.Slots })
	go func() {
		<-stop()
		close(killed)
	}()
	unsent := 0
	for range cap(statuses) {
		switch status := <-statuses; status {
		case 503:
			unsent++
		case 502, 504:
		default:
			t.Errorf("status %d, 0 is none", status)
		}
	}
	is.Equal(unsent, cap(statuses)-w.Slots)
}
