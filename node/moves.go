package node

import (
	"github.com/primrosemoor/primrosemoor/topology"
)

// claimReporter reports this node's claimed requests to the ledger again.
type claimReporter interface {
	ResendClaimReports(moved func(team, requestID string) bool)
}

// shardMapper maps request ids to ledger shards.
type shardMapper interface {
	ShardOf(team, requestID string) uint32
}

// shardMoveReporter reports the requests of this entry node to the new owners of
// ledger shards: where each request runs or how it ended. The store holds only
// the claims themselves.
type shardMoveReporter struct {
	reporter claimReporter
	shards   shardMapper
	last     *topology.Snapshot
}

// ApplyTopology reports the requests of the shards whose owner differs from that
// in the last topology.
func (m *shardMoveReporter) ApplyTopology(s *topology.Snapshot) {
	previous := m.last
	m.last = s
	if previous == nil {
		return
	}
	m.reporter.ResendClaimReports(func(team, requestID string) bool {
		shard := m.shards.ShardOf(team, requestID)
		return previous.ShardOwner(shard) != s.ShardOwner(shard)
	})
}
