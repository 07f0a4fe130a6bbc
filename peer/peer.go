// Package peer implements remote calls between nodes over TCP connections that
// are multiplexed by yamux. Each call uses one stream and exchanges
// length-delimited protobuf messages. A connection begins with a Hello message
// that contains the protocol version, cluster and node; a mismatch is rejected
// with a typed error.
package peer

import (
	"time"

	"github.com/hashicorp/yamux"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// ProtocolVersion is the version of the peer protocol that this build implements.
const ProtocolVersion = 1

const (
	helloTimeout      = 3 * time.Second
	keepAliveInterval = 5 * time.Second
	writeTimeout      = 3 * time.Second
)

// Identity identifies a node to its peers.
type Identity struct {
	Cluster          string
	Node             string
	AvailabilityZone string
	// Incarnation increases with each start of the node.
	Incarnation uint64
}

// Meter counts the payload bytes of calls.
type Meter interface {
	// CountCall adds the bytes that this node sent and received in one call.
	CountCall(method schema.Method, sent, received int)
}

// NopMeter is a Meter that discards all counts.
type NopMeter struct{}

// CountCall implements Meter.
func (NopMeter) CountCall(schema.Method, int, int) {}

func (id Identity) hello() *schema.Hello {
	return &schema.Hello{
		Version:          ProtocolVersion,
		Cluster:          id.Cluster,
		Node:             id.Node,
		AvailabilityZone: id.AvailabilityZone,
		Incarnation:      id.Incarnation,
	}
}

// checkHello rejects a peer with a different protocol version or cluster.
func (id Identity) checkHello(h *schema.Hello) error {
	if h.GetVersion() != ProtocolVersion {
		return fault.New(schema.ErrorKind_ERROR_KIND_INCOMPATIBLE,
			"peer speaks another protocol version",
			"run nodes of adjoining releases only")
	}
	if h.GetCluster() != id.Cluster {
		return fault.New(schema.ErrorKind_ERROR_KIND_INCOMPATIBLE,
			"peer belongs to cluster "+h.GetCluster(),
			"set node.cluster alike on all nodes, and check the advertised addresses")
	}
	return nil
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.LogOutput = discardWriter{}
	return c
}

type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

func unreachable(err error, address string) error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_UNREACHABLE, err,
		"peer at "+address+" cannot be reached", "check the link and the node's state with primrosectl status")
}
