package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
// Length and encoding of a body are set anew for each connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// dropHopByHop removes what concerns one connection, including what its
// Connection header names.
func dropHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
