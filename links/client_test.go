package links

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/upstream"
)

// sender answers after a time, or fails.
type sender struct {
	after time.Duration
	err   error
	body  io.Reader
}

func (s sender) Send(ctx context.Context, to upstream.Address, _ *upstream.Request) (*http.Response, error) {
	select {
	case <-time.After(s.after):
	case <-ctx.Done():
		return nil, &upstream.SendError{Address: to, Sent: true, Err: ctx.Err()}
	}
	if s.err != nil {
		return nil, s.err
	}
	return &http.Response{StatusCode: 200, Body: io.NopCloser(s.body)}, nil
}

// failingReader fails after some text.
type failingReader struct{ io.Reader }

func (r failingReader) Read(p []byte) (int, error) {
	if n, err := r.Reader.Read(p); err == nil {
		return n, nil
	}
	return 0, syscall.ECONNRESET
}

func TestFailuresOfANodeWithoutLinksSayNothingOfTheTarget(t *testing.T) {
	unsent := &upstream.SendError{Err: syscall.ECONNREFUSED}
	sent := &upstream.SendError{Sent: true, PeerClosed: true, Err: syscall.ECONNRESET}
	for _, c := range []struct {
		name   string
		sender sender
		linked bool
	}{
		{"refused", sender{err: unsent}, true}, {"refused, without links", sender{err: unsent}, false},
		{"reset", sender{err: sent}, true}, {"reset, without links", sender{err: sent}, false},
		{"cut answer", sender{body: failingReader{strings.NewReader("id")}}, true},
		{"cut answer, without links", sender{body: failingReader{strings.NewReader("id")}}, false},
		{"whole answer, without links", sender{body: strings.NewReader("whole")}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := NewMonitor(Options{})
			m.lost.Store(!c.linked)
			resp, err := NewClient(c.sender, func(string) *Monitor { return m }).Send(t.Context(), upstream.Address{}, nil)
			var sendErr *upstream.SendError
			if c.sender.err != nil {
				is.True(errors.As(err, &sendErr))
				is.Equal(sendErr.Sent, errors.Is(c.sender.err, syscall.ECONNRESET))
			} else {
				is.NoErr(err)
				_, err = io.ReadAll(resp.Body)
			}
			is.Equal(errors.Is(err, ErrNoLink), err != nil && !c.linked)
			is.Equal(len(m.suspects), map[bool]int{false: 0, true: 1}[err != nil])
		})
	}
}

func TestCancelledRequestRaisesNoSuspicion(t *testing.T) {
	is := is.New(t)
	m := NewMonitor(Options{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := NewClient(sender{after: time.Hour}, func(string) *Monitor { return m }).Send(ctx, upstream.Address{}, nil)
	is.True(err != nil)
	is.Equal(len(m.suspects), 0)
}

// One silent target is no reason to suspect the links while others answer.
func TestSilenceOfAllTargetsMakesTheLinksSuspect(t *testing.T) {
	for _, others := range []bool{false, true} {
		t.Run(fmt.Sprint("others answer: ", others), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := NewMonitor(Options{})
				c := NewClient(sender{after: 2 * time.Second, body: strings.NewReader("")}, func(string) *Monitor { return m })
				if others {
					go func() {
						time.Sleep(300 * time.Millisecond)
						m.recordHeard()
					}()
				}
				_, err := c.Send(t.Context(), upstream.Address{}, nil)
				is.NoErr(err)
				is.Equal(len(m.suspects) == 1, !others)
			})
		})
	}
}
