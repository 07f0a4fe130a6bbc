package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host        = "farm.example"
	key         = "i9n73hh2b9wu3fexd9dn"
	connectTime = time.Second
)

var lastID atomic.Int64

// newID returns the id of a requester attempt.
func newID(kind string) string { return fmt.Sprintf("%s-%04d", kind, lastID.Add(1)) }

// request is one requester attempt.
type request struct {
	id, method, path string
	timeout          time.Duration
	headers          map[string]string
	body             []byte
	// pace is the time that each 64 KiB of the body take; 0 sends it at once.
	pace time.Duration
	// onEvent is called with each event of a stream.
	onEvent func(id int, data string)
}

// answer is how an attempt ended. err is set if the channel closed without a whole answer.
type answer struct {
	status     int
	retryAfter time.Duration
	sealed     bool
	body       string
	err        error
}

// channel is a connection of a requester to a machine.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	used   int
}

func open(n *node) (*channel, error) {
	c, err := net.DialTimeout("tcp4", n.callers(), connectTime)
	if err != nil {
		return nil, err
	}
	return &channel{conn: c, reader: bufio.NewReader(c)}, nil
}

// send sends a request and reads its answer. The requester leaves when its time is over.
func (c *channel) send(q request) answer {
	c.used++
	c.conn.SetDeadline(time.Now().Add(q.timeout))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n", q.method, q.path, host, headerID, q.id, headerDeadline, q.timeout.Milliseconds(), headerKey, key)
	for name, value := range q.headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return answer{err: err}
	}
	for rest := q.body; len(rest) > 0; {
		n := len(rest)
		if q.pace > 0 {
			n = min(n, 64<<10)
			time.Sleep(q.pace)
		}
		if _, err := c.conn.Write(rest[:n]); err != nil {
			return answer{err: err}
		}
		rest = rest[n:]
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, sealed: resp.Header.Get(headerSeal) != ""}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.StatusCode == http.StatusOK && q.onEvent != nil {
		a.err = readEvents(resp.Body, q.onEvent)
		return a
	}
	body, err := io.ReadAll(resp.Body)
	a.body, a.err = string(body), err
	return a
}

func (c *channel) close() { c.conn.Close() }

// readEvents reads a stream to its end.
func readEvents(body io.Reader, onEvent func(id int, data string)) error {
	reader, id, data := bufio.NewReader(body), 0, ""
	for {
		line, err := reader.ReadString('\n')
		switch text := strings.TrimRight(line, "\r\n"); {
		case err == io.EOF && line == "":
			return nil
		case err != nil:
			return err
		case text == "" && id > 0:
			onEvent(id, data)
			id, data = 0, ""
		case strings.HasPrefix(text, "id:"):
			id, _ = strconv.Atoi(strings.TrimSpace(text[3:]))
		case strings.HasPrefix(text, "data:"):
			data = strings.TrimSpace(text[5:])
		}
	}
}

func (a answer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer: %v", a.err)
	case a.err != nil:
		return fmt.Sprintf("%d, cut: %v", a.status, a.err)
	default:
		return strconv.Itoa(a.status)
	}
}

// sendOnce sends a request on a channel of its own.
func sendOnce(n *node, q request) answer {
	c, err := open(n)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	return c.send(q)
}
