package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/gateway"
)

// bodyBudget is the budget of the bodies in these tests.
const bodyBudget = 8 << 20

func newBodyGateway(t *testing.T) *testGateway {
	t.Helper()
	route := newRoute(catalog.Idempotent)
	route.Timeout = 8 * time.Second
	var scripts []targetScript
	for range 100 {
		scripts = append(scripts, signedOK("answer"))
	}
	return newTestGatewayWith(t, route, func(o *gateway.Options) { o.BodyBytes = bodyBudget }, scripts...)
}

// heldBody is a body whose end is sent when finish is called.
type heldBody struct {
	io.Reader
	finish func()
}

func newHeldBody(bytes int) *heldBody {
	rest, wait := io.Pipe()
	var once sync.Once
	return &heldBody{
		Reader: io.MultiReader(strings.NewReader(strings.Repeat("x", bytes-1)), rest),
		finish: func() {
			once.Do(func() {
				go func() {
					_, _ = wait.Write([]byte("x"))
					wait.Close()
				}()
			})
		},
	}
}

// post sends a request with a body of a length, unknown if that is negative.
func (g *testGateway) post(t *testing.T, id string, body io.Reader, length int64) callerResponse {
	t.Helper()
	return g.send(t, t.Context(), func(r *http.Request) {
		r.Header.Set(headerID, id)
		r.Header.Set("X-Primrosemoor-Deadline-Ms", "8000")
		r.Body, r.ContentLength = io.NopCloser(body), length
	})
}

// Bodies that come slowly take a bounded share of the memory: others are refused, which says
// that they have not run, and small ones are served all the while.
func TestBodiesOfAllRequestsAreBounded(t *testing.T) {
	for name, length := range map[string]int64{"of a known length": 1 << 20, "of an unknown length": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newBodyGateway(t)
			const count = 16
			bodies := make([]*heldBody, count)
			got := make([]callerResponse, count)
			var sending sync.WaitGroup
			for i := range bodies {
				bodies[i] = newHeldBody(1 << 20)
				defer bodies[i].finish()
				sending.Go(func() { got[i] = g.post(t, fmt.Sprint("large-", i), bodies[i], length) })
			}
			time.Sleep(1500 * time.Millisecond)
			is.True(g.gateway.BodyBytesUsed() <= bodyBudget)
			is.Equal(g.post(t, "small", strings.NewReader("body"), 4).status, 200)
			is.Equal(g.post(t, "larger", strings.NewReader(strings.Repeat("x", 100<<10)), 100<<10).status, 200)
			for _, b := range bodies {
				b.finish()
			}
			sending.Wait()
			served, refused := 0, 0
			for _, r := range got {
				switch {
				case r.err == nil && r.status == 200:
					served++
				case r.err == nil && r.status == 503 && r.header.Get("Retry-After") != "":
					refused++
				}
			}
			t.Logf("%d served, %d refused", served, refused)
			is.True(served >= 4)
			is.True(refused >= 4)
			is.Equal(served+refused, count)
			is.Equal(g.gateway.BodyBytesUsed(), int64(0))
		})
	}
}

// A body waits for room and is served once there is some.
func TestBodyWaitsForRoom(t *testing.T) {
	is := is.New(t)
	g := newBodyGateway(t)
	first := newHeldBody(4 << 20)
	var sending sync.WaitGroup
	sending.Go(func() { is.Equal(g.post(t, "first", first, 4<<20).status, 200) })
	time.Sleep(200 * time.Millisecond)
	time.AfterFunc(300*time.Millisecond, first.finish)
	began := time.Now()
	is.Equal(g.post(t, "second", strings.NewReader(strings.Repeat("x", 4<<20)), 4<<20).status, 200)
	is.True(time.Since(began) >= 200*time.Millisecond)
	sending.Wait()
}

// Lengths that are lies, and bodies that stop, end with an error and give their room back.
func TestBodyThatIsNotAsStatedGivesItsRoomBack(t *testing.T) {
	is := is.New(t)
	g := newBodyGateway(t)
	for i := range 20 {
		got := g.post(t, fmt.Sprint("short-", i), strings.NewReader("body"), 3<<20)
		is.True(got.err != nil || got.status == http.StatusBadRequest)
	}
	is.Equal(g.post(t, "whole", strings.NewReader(strings.Repeat("x", 3<<20)), 3<<20).status, 200)
	deadline := time.Now().Add(time.Second)
	for g.gateway.BodyBytesUsed() > 0 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(g.gateway.BodyBytesUsed(), int64(0))
}
