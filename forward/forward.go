// Package forward lets a node that has lost its links to targets send its requests through
// another node, which still has its own. The first node keeps the request: it chooses the
// target, answers the caller, and alone decides whether the request is sent again. The
// other one passes bytes on, and keeps to what the target has asked of it.
package forward

import (
	"net/http"

	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// bodyBytes is the size of a part of a body.
	bodyBytes = 32 << 10
	// maxBodyBytes bounds the body of a request that is forwarded.
	maxBodyBytes = 32 << 20
)

func encodeHeader(h http.Header) (encoded []*schema.ForwardHeader) {
	for name, values := range h {
		encoded = append(encoded, &schema.ForwardHeader{Name: name, Values: values})
	}
	return encoded
}

func decodeHeader(encoded []*schema.ForwardHeader) http.Header {
	h := make(http.Header, len(encoded))
	for _, e := range encoded {
		h[e.GetName()] = e.GetValues()
	}
	return h
}
