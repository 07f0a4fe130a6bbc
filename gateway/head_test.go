package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// startCutTarget runs a target that sends the beginning of an answer to each request and
// closes the connection.
func startCutTarget(t *testing.T) (address string, answer *string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	answer = new(string)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				fmt.Fprint(conn, *answer)
			}
			conn.(*net.TCPConn).CloseWrite()
			conn.Close()
		}
	}()
	return l.Addr().String(), answer
}

// Wherever the head of an answer ends early, the caller gets no success.
func TestAnswerWhoseHeadIsCutIsNoSuccess(t *testing.T) {
	id, seal := headerID+": id-1\r\n", headerSeal+": s\r\n"
	for name, head := range map[string]string{
		"length":        "HTTP/1.1 200 OK\r\n" + id + seal + "Content-Length: 120\r\n\r\n",
		"length first":  "HTTP/1.1 200 OK\r\nContent-Length: 120\r\n" + id + seal + "\r\n",
		"chunks":        "HTTP/1.1 200 OK\r\n" + id + seal + "Transfer-Encoding: chunked\r\n\r\n",
		"neither":       "HTTP/1.1 200 OK\r\n" + id + seal + "\r\n",
		"stream":        "HTTP/1.1 200 OK\r\n" + id + seal + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"bare newlines": strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+id+seal+"\r\n", "\r\n", "\n"),
	} {
		for _, kind := range []catalog.Kind{catalog.NonIdempotent, catalog.Streaming} {
			t.Run(fmt.Sprint(name, ", ", kind), func(t *testing.T) {
				is := is.New(t)
				address, answer := startCutTarget(t)
				for cut := range len(head) {
					*answer = head[:cut]
					g := newTestGateway(t, newRoute(kind))
					g.gateway.Sender = oneTarget{upstream.NewClient(upstream.NewDial(), func() {}), address}
					got := g.exchangeRaw(t, false)
					if strings.HasPrefix(got, "HTTP/1.1 2") {
						t.Fatalf("answer cut after %q: %q", head[:cut], got)
					}
					is.True(strings.HasPrefix(got, "HTTP/1.1 502") || got == "")
				}
			})
		}
	}
}
