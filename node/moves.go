package node

import (
	"github.com/primrosemoor/primrosemoor/topology"
)

// reporter repeats the reports of claimed requests to the ledger.
type reporter interface {
	RepeatReports(moved func(team, requestID string) bool)
}

// sharder assigns request ids to ledger shards.
type sharder interface {
	ShardOf(team, requestID string) uint32
}

// shardMoves tells the new owners of ledger shards where the requests of this
// entry run or how they ended, because only the claims themselves are stored.
type shardMoves struct {
	reporter reporter
	sharder  sharder
	last     *topology.Snapshot
}

// ApplyTopology reports the requests of the shards that have another owner
// than in the last topology.
func (m *shardMoves) ApplyTopology(s *topology.Snapshot) {
	before := m.last
	m.last = s
	if before == nil {
		return
	}
	m.reporter.RepeatReports(func(team, requestID string) bool {
		shard := m.sharder.ShardOf(team, requestID)
		return before.ShardOwner(shard) != s.ShardOwner(shard)
	})
}
