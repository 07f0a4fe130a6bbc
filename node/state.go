package node

import (
	"sync/atomic"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/membership"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// processState is the process state that the readiness check and status report.
type processState struct {
	draining atomic.Bool
}

func newProcessState() *processState {
	return &processState{}
}

// ready returns nil if the load balancer may send requests to this node.
func (s *processState) ready(current *topology.Current, members *membership.Manager) error {
	switch {
	case s.draining.Load():
		return fault.New(schema.ErrorKind_ERROR_KIND_DRAINING, "the node is shutting down", "use another node")
	case members.Isolated():
		return fault.New(schema.ErrorKind_ERROR_KIND_ISOLATED,
			"the node reaches neither the object API nor its peers", "check the node's network")
	case current.Load().Revision() == 0:
		return fault.New(schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE,
			"no configuration is in force", "apply one with primrosectl apply")
	default:
		return nil
	}
}

// status returns the status of this node and the members that it knows.
func (p *components) status() *schema.StatusReply {
	snapshot := p.Current.Load()
	reply := &schema.StatusReply{
		Node:             p.Settings.GetNode().GetName(),
		AvailabilityZone: p.Settings.GetNode().GetAvailabilityZone(),
		ConfigRevision:   snapshot.Revision(),
		Draining:         p.State.draining.Load(),
		Isolated:         p.Membership.Isolated(),
		Groups:           p.Admission.Status(),
		InFlight:         uint32(p.Front.handler.InFlight()),
		StoreReachable:   p.storeReachable(),
	}
	for _, m := range p.Membership.Members() {
		reply.Members = append(reply.Members, &schema.MemberStatus{
			Node:             m.GetNode(),
			AvailabilityZone: m.GetAvailabilityZone(),
			Address:          m.GetPeerAddress(),
			State:            m.GetState().String(),
			ConfigRevision:   m.GetConfigRevision(),
		})
	}
	return reply
}

// reachability is implemented by stores that know whether their latest calls
// were answered.
type reachability interface {
	Reachable() bool
}

// storeReachable reports whether the store is reachable. A store that does not
// implement reachability counts as reachable.
func (p *components) storeReachable() bool {
	store, ok := p.Store.(reachability)
	return !ok || store.Reachable()
}
