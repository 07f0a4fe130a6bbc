package ledger

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/primrosemoor/primrosemoor/schema"
)

// Limits of the cache of finished requests and their outcomes in each shard.
const (
	maxFinishedRecords = 100_000
	maxFinishedBytes   = 32 << 20
)

// record is the owner's in-memory state of a claim, in addition to its stored
// entry.
type record struct {
	attempt   uint64
	digest    uint64
	state     schema.ClaimState
	entryNode string
	// incarnation identifies the entry node's process; zero means unknown.
	incarnation uint64
	target      string
	address     string
	streamID    string
	outcome     *schema.StoredOutcome
	// unclaimed is true while the request runs without a stored claim.
	unclaimed bool
}

func (r *record) reply(state schema.ClaimState) *schema.ClaimReply {
	return &schema.ClaimReply{
		State:     state,
		EntryNode: r.entryNode,
		Target:    r.target,
		Address:   r.address,
		StreamId:  r.streamID,
		Outcome:   r.outcome,
	}
}

// records holds an owner's records: those of all running requests, and an LRU
// cache of finished ones that is limited by count and by bytes.
type records struct {
	running  map[requestKey]*record
	finished *simplelru.LRU[requestKey, *record]
	bytes    int
}

func newRecords() *records {
	r := &records{running: make(map[requestKey]*record)}
	// NewLRU fails only if the size is not positive.
	r.finished, _ = simplelru.NewLRU(maxFinishedRecords, func(_ requestKey, rec *record) {
		r.bytes -= len(rec.outcome.GetBody())
	})
	return r
}

func (r *records) get(key requestKey) *record {
	if rec, ok := r.running[key]; ok {
		return rec
	}
	rec, _ := r.finished.Get(key)
	return rec
}

func (r *records) setRunning(key requestKey, rec *record) {
	r.finished.Remove(key)
	r.running[key] = rec
}

func (r *records) setFinished(key requestKey, rec *record) {
	delete(r.running, key)
	r.finished.Remove(key)
	r.finished.Add(key, rec)
	r.bytes += len(rec.outcome.GetBody())
	for r.bytes > maxFinishedBytes {
		r.finished.RemoveOldest()
	}
}

func (r *records) remove(key requestKey) {
	delete(r.running, key)
	r.finished.Remove(key)
}
