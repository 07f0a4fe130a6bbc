package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is a requester's channel to a machine, which it keeps for many requests.
type channel struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// used counts the answers on the channel.
	used int
}

// answer is what a requester has seen of one request.
type answer struct {
	status int
	header http.Header
	body   string
	// err is set if the channel ended before the whole answer.
	err error
	// sent is set once the whole request was written.
	sent bool
}

func (c *channel) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// post sends one request and reads its answer.
func (c *channel) post(host, path string, headers map[string]string, body []byte, patience time.Duration) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.reader, c.used = conn, bufio.NewReader(conn), 0
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", path, host, len(body))
	for name, value := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	b.WriteString("\r\n")
	b.Write(body)
	if err := c.conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return answer{err: err}
	}
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		c.close()
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		c.close()
		return answer{err: err, sent: true}
	}
	text, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	a := answer{status: resp.StatusCode, header: resp.Header, body: string(text), err: err, sent: true}
	if c.used++; err != nil || resp.Close {
		c.close()
	}
	return a
}

// versionsOf returns the software versions that the events of a stream name, in order.
func versionsOf(body string) (versions []string) {
	for line := range strings.Lines(body) {
		if !strings.HasPrefix(line, "data: ") {
			continue
		}
		version := strings.TrimSpace(line[strings.LastIndex(line, " ")+1:])
		if len(versions) == 0 || versions[len(versions)-1] != version {
			versions = append(versions, version)
		}
	}
	return versions
}
