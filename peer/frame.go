package peer

import (
	"encoding/binary"
	"errors"
	"io"
	"net"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

var errMessageTooLarge = errors.New("peer: message exceeds the size limit")

// receiveRaw reads one length-delimited message without decoding it.
func (s *Stream) receiveRaw() ([]byte, error) {
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return nil, err
	}
	if size > MaxMessageBytes {
		return nil, errMessageTooLarge
	}
	raw := make([]byte, size)
	_, err = io.ReadFull(s.reader, raw)
	return raw, err
}

func writeMessage(conn net.Conn, m proto.Message) error {
	_, err := protodelim.MarshalTo(conn, m)
	return err
}

// readMessage reads byte by byte, so that nothing after the message is
// consumed before yamux reads from the connection.
func readMessage(conn net.Conn, m proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	return options.UnmarshalFrom(singleByteReader{conn}, m)
}

type singleByteReader struct{ net.Conn }

// ReadByte implements io.ByteReader.
func (r singleByteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Conn, b[:])
	return b[0], err
}
