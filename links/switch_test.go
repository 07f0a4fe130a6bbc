package links

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/upstream"
)

// countingSender counts what is sent over one way.
type countingSender struct{ sends int }

func (s *countingSender) Send(context.Context, upstream.Address, *upstream.Request) (*http.Response, error) {
	s.sends++
	return &http.Response{StatusCode: 200, Body: http.NoBody}, nil
}

func TestRequestsGoThroughOthersOnlyWhileTheLinksAreLost(t *testing.T) {
	is := is.New(t)
	own, others, m := &countingSender{}, &countingSender{}, NewMonitor(Options{})
	s := &Switch{Own: own, Others: others, Monitor: func(string) *Monitor { return m }}
	for _, lost := range []bool{false, true, true, false} {
		m.lost.Store(lost)
		_, err := s.Send(t.Context(), upstream.Address{}, nil)
		is.NoErr(err)
	}
	is.Equal(own.sends, 2)
	is.Equal(others.sends, 2)
}
