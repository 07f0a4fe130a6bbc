package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

var errSilent = errors.New("mesh: the other node does not answer")

// ackInterval is the shortest time between two answers: three fall into the time
// after which a link counts as silent.
const ackInterval = 200 * time.Millisecond

// Serve takes in and answers the updates of one other node until its stream ends.
func (m *Manager) Serve(_ context.Context, from peer.Identity, stream *peer.Stream) error {
	in := newInbound(from)
	var acked time.Time
	for {
		u := &schema.MeshUpdate{}
		if err := stream.Receive(u); err != nil {
			return err
		}
		m.received(in, u)
		if time.Since(acked) < ackInterval {
			continue
		}
		acked = time.Now()
		ack := &schema.MeshAck{Echo: u.GetSentAt()}
		if version, age, ok := m.options.Prover.Proof(); ok {
			ack.Version, ack.ProofAgeMicros = version, uint64(max(age.Microseconds(), 0))
		}
		if err := stream.Send(ack); err != nil {
			return err
		}
	}
}
