package callers

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
)

// What an ordinary caller sends is never taken for the beginning of a further request, however it
// is divided into packets, and what comes behind a request always is.
func TestBytesBehindARequestAreKnown(t *testing.T) {
	requests := map[string]string{
		"no body": "GET / HTTP/1.1\r\nHost: h\r\nA: 1\r\n\r\n",
		"length":  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 13\r\n\r\nline\nline\r\n\r\n",
		"chunks":  "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nline\n\r\n0\r\n\r\n",
	}
	behind := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 100)
	for name, request := range requests {
		for _, further := range []string{"", behind} {
			t.Run(fmt.Sprintf("%s, %d bytes behind", name, len(further)), func(t *testing.T) {
				is := is.New(t)
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				is.NoErr(err)
				s := NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
				})}, l, Options{})
				go func() { _ = s.Serve() }() // The test ends it.
				defer s.server.Close()
				for cut := 0; cut <= len(request); cut += 3 {
					caller, err := net.Dial("tcp4", l.Addr().String())
					is.NoErr(err)
					answers := bufio.NewReader(caller)
					for range 2 {
						fmt.Fprint(caller, request[:cut])
						time.Sleep(time.Millisecond)
						fmt.Fprint(caller, request[cut:], further)
						_, err = http.ReadResponse(answers, nil)
						is.NoErr(err)
						if further != "" {
							break
						}
					}
					time.Sleep(5 * time.Millisecond) // The server ends the request.
					bytes, lines := s.carried()
					if further == "" {
						is.Equal(bytes, 0)
					} else {
						is.True(bytes >= len(behind)-1) // One byte may be read behind the request.
						is.True(lines >= 99)
					}
					caller.Close()
					for s.Len() > 0 {
						time.Sleep(time.Millisecond)
					}
				}
			})
		}
	}
}

// carried returns what the heads carry that have come behind requests.
func (s *Server) carried() (bytes, lines int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		if c.carried || c.partial {
			bytes, lines = bytes+c.headBytes, lines+c.headLines
		}
		c.mu.Unlock()
	}
	return bytes, lines
}
