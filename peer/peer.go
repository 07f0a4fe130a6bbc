// Package peer carries calls between nodes: TCP connections multiplexed by
// yamux, one stream for each call, with length-delimited protobuf messages.
// A connection begins with a Hello that names protocol version, cluster and
// node; a mismatch is refused with a typed error.
package peer

import (
	"time"

	"github.com/hashicorp/yamux"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// ProtocolVersion is the version of the peer protocol that this build speaks.
const ProtocolVersion = 1

const (
	helloTimeout      = 3 * time.Second
	keepAliveInterval = 5 * time.Second
	writeTimeout      = 3 * time.Second
)

// Identity names a node to its peers.
type Identity struct {
	Cluster          string
	Node             string
	AvailabilityZone string
	// Incarnation rises with each start of the node.
	Incarnation uint64
}

// Meter counts the payload bytes of calls.
type Meter interface {
	// CountCall adds one call's bytes sent and received by this node.
	CountCall(method schema.Method, sent, received int)
}

// NopMeter counts nothing.
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

// checkHello refuses a peer of another version or cluster.
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

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.LogOutput = discard{}
	return c
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func unreachable(err error, address string) error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_UNREACHABLE, err,
		"peer at "+address+" cannot be reached", "check the link and the node's state with primrosectl status")
}
