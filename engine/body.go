package engine

import (
	"bytes"
	"io"
	"net/http"
)

// emptyBody is a body without content that net/http does not recognise as
// such, and so never replays.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }

// onceBody returns a body of known length that cannot be rewound.
func onceBody(content []byte) io.ReadCloser {
	if len(content) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(content))
}
