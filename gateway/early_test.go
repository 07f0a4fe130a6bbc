package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// earlyRefusal is a request that is refused before its body has come.
type earlyRefusal struct {
	name, path, key string
	status          int
}

var earlyRefusals = []earlyRefusal{
	{"route removed", "/gone/1", apiKey, 404},
	{"key removed", "/walks/1", "k-gone", 401},
	{"keys not proven", "/walks/1", apiKey, 503},
}

// sendLate sends the head of a request, its body piece by piece, and reads the answer only
// after the last one or once it cannot write any more.
func (g *testGateway) sendLate(t *testing.T, e earlyRefusal, chunked bool, size int) (status int, err error) {
	t.Helper()
	conn, err := net.Dial("tcp4", g.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	framing := fmt.Sprintf("Content-Length: %d", size)
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: farm.example\r\n%s: id-1\r\nApi-Key: %s\r\n%s\r\n\r\n", e.path, headerID, e.key, framing)
	const pieces = 8
	piece, end := strings.Repeat("x", size/pieces), ""
	if chunked {
		piece, end = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece), "0\r\n\r\n"
	}
	for range pieces {
		time.Sleep(80 * time.Millisecond) // Together longer than the server waits before it closes.
		if _, err = io.WriteString(conn, piece); err != nil {
			break
		}
	}
	if err == nil {
		_, _ = io.WriteString(conn, end)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// A change of the configuration refuses requests whose body is still coming.
func TestEarlyRefusalReachesACallerThatStillSends(t *testing.T) {
	for _, e := range earlyRefusals {
		for _, stopping := range []bool{false, true} {
			for _, chunked := range []bool{false, true} {
				for _, size := range []int{64 << 10, 1 << 20} {
					t.Run(fmt.Sprintf("%s, stops: %v, chunked: %v, %d KiB", e.name, stopping, chunked, size>>10), func(t *testing.T) {
						t.Parallel()
						is := is.New(t)
						g := newTestGateway(t, newRoute(catalog.NonIdempotent))
						g.config.keysProven = e.status != 503
						if stopping {
							g.gateway.CloseConnections()
						}
						status, err := g.sendLate(t, e, chunked, size)
						is.NoErr(err)
						is.Equal(status, e.status)
					})
				}
			}
		}
	}
}
