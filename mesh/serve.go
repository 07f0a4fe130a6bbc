package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

var errNoAck = errors.New("mesh: peer sent no acknowledgement in time")

// ackInterval is the minimum time between two acknowledgements, so that three fit
// into ackTimeout, after which the sender closes the link.
const ackInterval = 200 * time.Millisecond

// Serve applies and acknowledges the updates of one other node until its stream
// ends.
func (m *Manager) Serve(_ context.Context, from peer.Identity, stream *peer.Stream) error {
	in := newInbound(from)
	var acked time.Time
	for {
		u := &schema.MeshUpdate{}
		if err := stream.Receive(u); err != nil {
			return err
		}
		m.handleUpdate(in, u)
		m.applyCrashes(u)
		m.applyStreams(in.from, u)
		m.applyRollouts(in.from, u)
		if time.Since(acked) < ackInterval {
			continue
		}
		acked = time.Now()
		ack := &schema.MeshAck{Echo: u.GetSentAt()}
		if c, age, ok := m.options.ProofRelay.Proof(); ok {
			ack.Version, ack.Era, ack.ProofAgeMicros = c.Version, c.Era, uint64(max(age.Microseconds(), 0))
		}
		m.addObjects(ack, u, in)
		if err := stream.Send(ack); err != nil {
			return err
		}
	}
}
