package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

// tooLarge returns the length of a message beyond the size limit, and some of its bytes.
func tooLarge() []byte {
	return append(binary.AppendUvarint(nil, peer.MaxMessageBytes+1), make([]byte, 32<<10)...)
}

// sendsUntilClosed sends a block again and again and returns how much was taken.
func sendsUntilClosed(conn net.Conn, block []byte) (sum int) {
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	for sum < 64<<20 {
		n, err := conn.Write(block)
		sum += n
		if err != nil {
			break
		}
	}
	return sum
}

// Whatever a node sends without end in place of the first message, the other side closes
// the connection.
func TestFirstMessageWithoutEndEndsItsConnection(t *testing.T) {
	for name, block := range map[string][]byte{
		"message too large": tooLarge(), "length without end": bytes.Repeat([]byte{0xff}, 32<<10), "no message": bytes.Repeat([]byte("a"), 32<<10),
	} {
		t.Run(name+", to a server", func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp4", startServer(t, "c", func(*peer.Server) {}))
			is.NoErr(err)
			defer conn.Close()
			is.True(sendsUntilClosed(conn, block) < 16<<20)
		})
		t.Run(name+", to a caller", func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			sent := make(chan int, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				sent <- sendsUntilClosed(conn, block)
			}()
			err = newPool(t, "c").Call(t.Context(), l.Addr().String(), schema.Method_METHOD_STATUS, &schema.StatusRequest{}, &schema.StatusReply{})
			is.True(err != nil)
			is.True(<-sent < 16<<20)
		})
	}
}

// A message of a stream beyond the size limit ends the stream.
func TestMessageBeyondTheSizeLimitEndsItsStream(t *testing.T) {
	is := is.New(t)
	received := make(chan error, 1)
	address := startServer(t, "c", func(s *peer.Server) {
		s.HandleStream(schema.Method_METHOD_MESH, func(_ context.Context, _ peer.Identity, s *peer.Stream) error {
			received <- s.Receive(&schema.BeliefsReply{})
			return nil
		})
	})
	stream, err := newPool(t, "c").OpenStream(t.Context(), address, schema.Method_METHOD_MESH)
	is.NoErr(err)
	defer stream.Close()
	go stream.Send(&schema.BeliefsReply{Configuration: make([]byte, peer.MaxMessageBytes)})
	is.True(<-received != nil)
}
