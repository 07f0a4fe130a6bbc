package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
)

const rawRequest = "POST /walks/1 HTTP/1.1\r\nHost: farm.example\r\n" + headerID + ": id-1\r\nApi-Key: " + apiKey +
	"\r\nX-Primrosemoor-Deadline-Ms: 2000\r\nConnection: close\r\nContent-Length: 8\r\n\r\nthe body"

// exchangeRaw sends a request over a connection of its own and returns all bytes that
// come back. With halfClose, it closes its sending side after the request.
func (g *testGateway) exchangeRaw(t *testing.T, halfClose bool) string {
	t.Helper()
	conn, err := net.Dial("tcp4", g.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, rawRequest)
	if halfClose {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	var raw bytes.Buffer
	// The bytes before a reset count as well as those before a close.
	if _, err := io.Copy(&raw, conn); err != nil && !isReset(err) {
		t.Fatal(err)
	}
	return raw.String()
}

func isReset(err error) bool { return strings.Contains(err.Error(), "connection reset") }

// A caller that has closed only its sending side still reads what comes. It gets no
// success that no target gave.
func TestACallerThatClosedItsSendingSideGetsNoSuccess(t *testing.T) {
	inBody := signedOK("part of it")
	inBody.hang = true
	for name, script := range map[string]targetScript{"before the head": {hang: true}, "in the body": inBody} {
		for _, kind := range []catalog.Kind{catalog.NonIdempotent, catalog.Streaming} {
			t.Run(fmt.Sprint(name, ", ", kind), func(t *testing.T) {
				is := is.New(t)
				raw := newTestGateway(t, newRoute(kind), script).exchangeRaw(t, true)
				is.Equal(raw, "")
			})
		}
	}
}
