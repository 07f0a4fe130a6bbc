package engine

import (
	"context"
	"net/http"
	"net/textproto"
	"strings"
	"time"
)

// hopByHop lists the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// PlainCall is a request to a plain service.
type PlainCall struct {
	Address   string
	RequestID string
	Method    string
	// Path begins with a slash and may include a query; it is sent unchanged.
	Path   string
	Header http.Header
	Body   []byte
	// NotAfter is the latest time to send the first byte; zero means no limit.
	NotAfter time.Time
}

// CallPlain sends the request and returns the target's response with any status;
// the caller must close its body. The error is a *SendError, or a *StatusError if
// the target declared that it did not start the request.
func (c *Client) CallPlain(ctx context.Context, call PlainCall) (*http.Response, error) {
	req, err := newRequest(ctx, call.Method, call.Address, call.Path, call.Body)
	if err != nil {
		return nil, err
	}
	req.Header = EndToEnd(call.Header)
	req.Header.Set(HeaderRequestID, call.RequestID)
	if _, ok := req.Header["User-Agent"]; !ok {
		// An empty value stops net/http from adding its default User-Agent.
		req.Header.Set("User-Agent", "")
	}
	resp, err := c.send(req, call.NotAfter)
	if err != nil {
		return nil, err
	}
	if notStarted(resp) {
		defer resp.Body.Close()
		return nil, statusError(resp)
	}
	return resp, nil
}

// EndToEnd returns a copy of header without hop-by-hop headers, which include
// those listed in Connection.
func EndToEnd(header http.Header) http.Header {
	h := header.Clone()
	if h == nil {
		h = http.Header{}
	}
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
	return h
}
