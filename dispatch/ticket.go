package dispatch

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// nodeIDPrefix begins every id made by a node.
	nodeIDPrefix   = "pm1-"
	idMACBytes     = 8
	randomKeyBytes = 32
	maxTicketBytes = 2 << 10
)

// IDOrigin tells who made a request id.
type IDOrigin int

// Origins of request ids.
const (
	// IDFromCaller is an id of the caller's own choice.
	IDFromCaller IDOrigin = iota
	// IDFromNode is an id that a node made for the same team.
	IDFromNode
	// IDForged begins like a node's id, and its authentication code is wrong.
	IDForged
)

// Signer makes and checks request ids and stream tickets with the key that
// all nodes share.
type Signer struct {
	key []byte
}

// NewSigner returns a Signer with a key in base64. An empty key stands for a
// random one, which other nodes do not know.
func NewSigner(key string) (*Signer, error) {
	if key == "" {
		random := make([]byte, randomKeyBytes)
		// rand.Read never fails (it ends the process instead).
		_, _ = rand.Read(random)
		return &Signer{key: random}, nil
	}
	raw, err := base64.StdEncoding.DecodeString(key)
	if err != nil {
		return nil, fmt.Errorf("decode peer.ticket_key: %w", err)
	}
	return &Signer{key: raw}, nil
}

// NewID returns a new request id for a team.
func (s *Signer) NewID(team string) string {
	name := uuid.NewString()
	return nodeIDPrefix + name + "-" + s.idMAC(team, name)
}

// Origin tells who made the id that a team's caller sent.
func (s *Signer) Origin(id, team string) IDOrigin {
	rest, ok := strings.CutPrefix(id, nodeIDPrefix)
	if !ok {
		return IDFromCaller
	}
	i := strings.LastIndexByte(rest, '-')
	if i < 0 || !hmac.Equal([]byte(rest[i+1:]), []byte(s.idMAC(team, rest[:i]))) {
		return IDForged
	}
	return IDFromNode
}

func (s *Signer) idMAC(team, name string) string {
	return hex.EncodeToString(s.mac("id", []byte(team+"\x00"+name))[:idMACBytes])
}

func (s *Signer) mac(purpose string, content []byte) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write([]byte(purpose))
	h.Write([]byte{0})
	h.Write(content)
	return h.Sum(nil)
}

// SignTicket returns the ticket's text for the caller.
func (s *Signer) SignTicket(ticket *schema.StreamTicket) (string, error) {
	mac, err := s.ticketMAC(ticket)
	if err != nil {
		return "", err
	}
	ticket.Signature = mac
	raw, err := proto.Marshal(ticket)
	if err != nil {
		return "", fmt.Errorf("encode stream ticket: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(raw), nil
}

// OpenTicket checks the text that a team's caller sent. Errors are of kind
// bad-request.
func (s *Signer) OpenTicket(text, team string) (*schema.StreamTicket, error) {
	if len(text) > maxTicketBytes {
		return nil, badTicket()
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return nil, badTicket()
	}
	ticket := &schema.StreamTicket{}
	if err := proto.Unmarshal(raw, ticket); err != nil {
		return nil, badTicket()
	}
	signature := ticket.GetSignature()
	mac, err := s.ticketMAC(ticket)
	if err != nil || !hmac.Equal(mac, signature) || ticket.GetTeam() != team {
		return nil, badTicket()
	}
	return ticket, nil
}

func (s *Signer) ticketMAC(ticket *schema.StreamTicket) ([]byte, error) {
	ticket.Signature = nil
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(ticket)
	if err != nil {
		return nil, fmt.Errorf("encode stream ticket: %w", err)
	}
	return s.mac("ticket", content), nil
}

func badTicket() error {
	return fault.New(schema.ErrorKind_ERROR_KIND_BAD_REQUEST,
		"the stream ticket is not valid", "send X-Stream-Ticket as the answer gave it, with the same key").Unknown()
}
