package engine

import (
	"bytes"
	"io"
	"net/http"
)

// emptyBody is an empty body that net/http does not recognise as empty, so it
// does not retry the request.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// singleUseBody returns a body of known length that cannot be rewound for a retry.
func singleUseBody(content []byte) io.ReadCloser {
	if len(content) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(content))
}
