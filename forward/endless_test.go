package forward_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/upstream"
)

// endless is the body of a response that never ends.
type endless struct {
	ctx context.Context
	// read counts the bytes that were read.
	read chan int
}

func (b endless) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	select {
	case b.read <- len(p):
	default:
	}
	return len(p), nil
}

func answersWithoutEnd(reads chan int) func(context.Context, *upstream.Request) (*http.Response, error) {
	return func(ctx context.Context, _ *upstream.Request) (*http.Response, error) {
		return response(endless{ctx, reads}), nil
	}
}

// A node that forwarded answers without end went on for minutes after the other node had
// closed them, because its sends waited for the other node to read, and refused further
// requests meanwhile.
func TestForwardedAnswerWithoutEndEndsWhenItIsClosedUnread(t *testing.T) {
	is := is.New(t)
	n := startOther(t, "n2", "a")
	n.answer = answersWithoutEnd(make(chan int))
	client := newClient(t, n)
	for range 4 { // More than the node forwards at the same time.
		resp, err := client.Send(t.Context(), target, request(""))
		is.NoErr(err)
		_, err = io.ReadFull(resp.Body, make([]byte, 64<<10))
		is.NoErr(err)
		time.Sleep(50 * time.Millisecond) // Until the node waits for this one to read.
		is.NoErr(resp.Body.Close())
		is.True(<-n.ended != nil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		is.Equal(n.server.Drain(ctx), int64(0))
		cancel()
	}
}

// maxReadAhead bounds what a node reads of an answer that is not read: a window of the
// stream between the nodes, and a part of a body that is being sent.
const maxReadAhead = 256<<10 + 64<<10

// The node that forwards an answer reads no more of it than the other node takes.
func TestForwardedAnswerWithoutEndIsNotReadAhead(t *testing.T) {
	is := is.New(t)
	n := startOther(t, "n2", "a")
	reads := make(chan int, 1<<10)
	n.answer = answersWithoutEnd(reads)
	resp, err := newClient(t, n).Send(t.Context(), target, request(""))
	is.NoErr(err)
	time.Sleep(200 * time.Millisecond)
	total := 0
	for len(reads) > 0 {
		total += <-reads
	}
	is.True(total > 0)
	is.True(total <= maxReadAhead)
	is.NoErr(resp.Body.Close())
}
