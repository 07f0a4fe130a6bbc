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

// maxMessageBytes bounds one message; a larger one ends the stream.
const maxMessageBytes = 4 << 20

// Stream carries length-delimited protobuf messages in both directions. One
// goroutine may send while another receives.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	sent   int
	read   int
}

func newStream(conn net.Conn) *Stream {
	s := &Stream{conn: conn}
	s.reader = bufio.NewReader(io.TeeReader(conn, countWriter{&s.read}))
	return s
}

// Send writes messages in one piece, because each write costs a frame and two
// system calls.
func (s *Stream) Send(messages ...proto.Message) error {
	var buffer bytes.Buffer
	for _, m := range messages {
		if _, err := protodelim.MarshalTo(&buffer, m); err != nil {
			return err
		}
	}
	n, err := s.conn.Write(buffer.Bytes())
	s.sent += n
	return err
}

// Receive reads one message into m. It returns io.EOF when the other side
// closed the stream.
func (s *Stream) Receive(m proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	return options.UnmarshalFrom(s.reader, m)
}

// SetDeadline bounds all later sends and receives.
func (s *Stream) SetDeadline(t time.Time) error {
	return s.conn.SetDeadline(t)
}

// Close ends the stream in both directions.
func (s *Stream) Close() error {
	return s.conn.Close()
}

type countWriter struct{ n *int }

func (w countWriter) Write(p []byte) (int, error) {
	*w.n += len(p)
	return len(p), nil
}
