package node

import (
	"github.com/primrosemoor/primrosemoor/topology"
)

// runningReporter repeats the reports of running requests to the ledger.
type runningReporter interface {
	ReportRunning(moved func(team, requestID string) bool)
}

// sharder assigns request ids to ledger shards.
type sharder interface {
	ShardOf(team, requestID string) uint32
}

// shardMoves tells the new owners of ledger shards where the requests of this
// entry run, because only the claims themselves are stored.
type shardMoves struct {
	reporter runningReporter
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
	m.reporter.ReportRunning(func(team, requestID string) bool {
		shard := m.sharder.ShardOf(team, requestID)
		return before.ShardOwner(shard) != s.ShardOwner(shard)
	})
}
