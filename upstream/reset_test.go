package upstream_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/upstream"
)

// longBodyBytes is more than the buffers of both sockets hold, so that the write of the
// request is still in progress while the response arrives.
const longBodyBytes = 32 << 20

// answerEarly reads the head of a request only, and sends a response without length.
func answerEarly(conn *targetConn, part string) {
	for {
		line, err := conn.reader.ReadString('\n')
		if err != nil || line == "\r\n" {
			break
		}
	}
	conn.write("HTTP/1.1 200 OK\r\nId: a\r\n\r\n" + part)
}

// readEarlyAnswer sends a long request and reads its response to the end.
func readEarlyAnswer(t *testing.T, script func(conn *targetConn)) (string, error) {
	t.Helper()
	c, target := newClient(t), startTarget(t, script)
	r := request("a")
	r.Body = make([]byte, longBodyBytes)
	resp, err := c.Send(t.Context(), target.address, r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// A response without length that is reset while the request is still being written must
// not read as complete: the write takes the error of the socket, and the read sees its end.
func TestResetDuringTheWriteTruncatesAResponseWithoutLength(t *testing.T) {
	for _, after := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			is := is.New(t)
			body, err := readEarlyAnswer(t, func(conn *targetConn) {
				answerEarly(conn, "part")
				time.Sleep(after)
				_ = conn.Conn.(*net.TCPConn).SetLinger(0)
			})
			is.True(errors.Is(err, upstream.ErrTruncated)) // a reset response is truncated
			is.True(strings.HasPrefix("part", body))
		})
	}
}

// A response without length whose target ends its side of the connection in order is
// complete, although the target has not read the request to its end.
func TestOrderlyEndDuringTheWriteCompletesAResponseWithoutLength(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	body, err := readEarlyAnswer(t, func(conn *targetConn) {
		answerEarly(conn, "whole")
		_ = conn.Conn.(*net.TCPConn).CloseWrite()
		<-ended
	})
	is.NoErr(err)
	is.Equal(body, "whole")
}

// A status outside of 100 to 599 is no response: one below 100 made the request wait for
// another response, and one above 599 reached the caller.
func TestStatusOutsideOfTheProtocolIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			c, target := newClient(t), startTarget(t, func(conn *targetConn) {
				if _, _, err := conn.request(); err != nil {
					return
				}
				conn.write("HTTP/1.1 " + status + " Trouble\r\nId: a\r\nContent-Length: 5\r\n\r\nwrong")
				_, _ = io.Copy(io.Discard, conn.reader)
			})
			result := make(chan error, 1)
			go func() {
				_, err := roundTrip(t, c, target, "a")
				result <- err
			}()
			select {
			case err := <-result:
				var sendErr *upstream.SendError
				is.True(errors.As(err, &sendErr)) // it is no response
				is.True(sendErr.Sent)             // the target may have run the request
			case <-time.After(5 * time.Second):
				t.Fatal("the request still waits for a response")
			}
		})
	}
}
