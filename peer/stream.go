package peer

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes is the maximum size of a message; a larger one ends the stream.
const MaxMessageBytes = 4 << 20

// Stream transfers length-delimited protobuf messages in both directions. One
// goroutine may send while another receives.
type Stream struct {
	conn          net.Conn
	reader        *bufio.Reader
	sentBytes     int
	receivedBytes int
}

func newStream(conn net.Conn) *Stream {
	s := &Stream{conn: conn}
	s.reader = bufio.NewReader(io.TeeReader(conn, countingWriter{&s.receivedBytes}))
	return s
}

// Send writes all messages in a single write, because each write costs a yamux
// frame and two system calls.
func (s *Stream) Send(messages ...proto.Message) error {
	var buffer bytes.Buffer
	for _, m := range messages {
		if _, err := protodelim.MarshalTo(&buffer, m); err != nil {
			return err
		}
	}
	n, err := s.conn.Write(buffer.Bytes())
	s.sentBytes += n
	return err
}

// Receive reads one message into m. It returns io.EOF if the remote side has
// closed the stream.
func (s *Stream) Receive(m proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	return options.UnmarshalFrom(s.reader, m)
}

// SetDeadline sets the deadline for all later sends and receives.
func (s *Stream) SetDeadline(t time.Time) error {
	return s.conn.SetDeadline(t)
}

// AwaitClose waits until the other side has closed the stream, discards what it sends
// until then, and closes the stream. A send that waits for the other side to read would
// otherwise not end.
func (s *Stream) AwaitClose() {
	// An error says that the stream has ended, too.
	_, _ = io.Copy(io.Discard, s.reader)
	_ = s.Close()
}

// Close closes the stream in both directions.
func (s *Stream) Close() error {
	return s.conn.Close()
}

type countingWriter struct{ n *int }

func (w countingWriter) Write(p []byte) (int, error) {
	*w.n += len(p)
	return len(p), nil
}
