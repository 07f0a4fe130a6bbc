package ledger

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/primrosemoor/primrosemoor/schema"
)

// Bounds of the finished requests that an owner remembers with their answers.
const (
	maxFinishedRecords = 100_000
	maxFinishedBytes   = 32 << 20
)

// record is what an owner knows of a claim beyond its stored entry.
type record struct {
	attempt   uint64
	digest    uint64
	state     schema.ClaimState
	entryNode string
	// incarnation of the entry's process; zero if it is not known.
	incarnation uint64
	target      string
	address     string
	streamID    string
	outcome     *schema.StoredOutcome
	// unclaimed is set while the request runs without a stored claim.
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

// records holds an owner's records: all that run, and the latest finished ones
// within a bound of count and bytes.
type records struct {
	running  map[requestKey]*record
	finished *simplelru.LRU[requestKey, *record]
	bytes    int
}

func newRecords() *records {
	r := &records{running: make(map[requestKey]*record)}
	// The size is positive, so that NewLRU cannot fail.
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

func (r *records) run(key requestKey, rec *record) {
	r.finished.Remove(key)
	r.running[key] = rec
}

func (r *records) finish(key requestKey, rec *record) {
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
