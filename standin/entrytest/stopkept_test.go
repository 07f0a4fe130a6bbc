package entrytest

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/standin/worker"
)

// refusalStart is when a node that stops refuses what comes, from the beginning of the stop.
const refusalStart = 2500 * time.Millisecond

const partlySentHead = "POST /book/x HTTP/1.1\r\nHost: farm.example\r\nX-Primrosemoor-Attempt-Id: late\r\n"

// A caller may send on a kept connection until it knows that the node stops.
func TestRequestThatIsThereInPartWhenANodeStopsIsRefused(t *testing.T) {
	for _, used := range []bool{false, true} {
		t.Run(fmt.Sprint("connection in use before: ", used), func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			w := env.startWorkerAs(&worker.Worker{ID: "i-app", Service: "app"})
			n, stop := env.startStoppingNode()
			c := n.connect(t)
			if used {
				c.sendHead("book", "first")
				c.sendBody()
				is.Equal(c.status(nil), 200)
			}
			killed := stop()
			time.Sleep(refusalStart - 200*time.Millisecond)
			io.Copy(c, strings.NewReader(partlySentHead))
			env.addedRoutes = append(env.addedRoutes, "added")
			env.writeConfig("k1")
			time.Sleep(400 * time.Millisecond)
			fmt.Fprintf(c, "Api-Key: %s\r\nContent-Length: 4\r\n\r\nbody", apiKey)
			is.Equal(c.status(killed), 503)
			is.Equal(w.RunCounts()["late"], 0)
		})
	}
}

// The first request on a new connection may come when the node refuses already.
func TestRequestOnANewConnectionIsRefusedWhenANodeStops(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.startWorker("i-app", "app", 0)
	n, stop := env.startStoppingNode()
	killed := stop()
	time.Sleep(refusalStart - 200*time.Millisecond)
	c := n.connect(t)
	time.Sleep(500 * time.Millisecond)
	c.sendHead("book", "late")
	c.sendBody()
	is.Equal(c.status(killed), 503)
}
