package ledger

import (
	"context"
	"errors"

	"github.com/primrosemoor/primrosemoor/schema"
)

// claim is one waiting Claim call.
type claim struct {
	ctx     context.Context
	request *schema.ClaimRequest
	key     requestKey
	shard   uint32
	attempt uint64
	digest  uint64
	// result has room for one answer, so that the Run goroutine never waits.
	result chan claimResult
}

type claimResult struct {
	reply *schema.ClaimReply
	err   error
}

var errNoCommit = errors.New("ledger: the commit took too long")

// late returns the answer of a claim whose time is up: one that came in time,
// or an error.
func (c *claim) late() (*schema.ClaimReply, error) {
	select {
	case r := <-c.result:
		return r.reply, r.err
	default:
	}
	if errors.Is(c.ctx.Err(), context.DeadlineExceeded) {
		return nil, errStoreUnavailable(errNoCommit)
	}
	return nil, errStoreUnavailable(c.ctx.Err())
}

func (c *claim) fail(err error) {
	c.result <- claimResult{err: err}
}

// entry returns the stored form of the claim.
func (c *claim) entry(nowUnixMs int64) entry {
	return entry{key: c.key, claimedUnixMs: nowUnixMs, digest: c.digest, attempt: c.attempt}
}

func (c *claim) record() *record {
	return &record{
		attempt:   c.attempt,
		digest:    c.digest,
		state:     schema.ClaimState_CLAIM_STATE_NEW,
		entryNode: c.request.GetEntryNode(),
	}
}

// entryLives reports whether the process that runs a request is a member; one
// that was started again under the same name does not run it.
func (m *Manager) entryLives(rec *record) bool {
	member, ok := m.topology.Member(rec.entryNode)
	return ok && (rec.incarnation == 0 || rec.incarnation == member.GetIncarnation())
}

// run keeps the record of a request that runs. One that an earlier owner
// handed over names the process that it was claimed by.
func (s *shard) run(key requestKey, rec *record) {
	if rec.incarnation == 0 {
		rec.incarnation = s.manager.incarnation(rec.entryNode)
	}
	s.records.run(key, rec)
}

// incarnation returns that of a member, or zero.
func (m *Manager) incarnation(node string) uint64 {
	if m.topology == nil {
		return 0
	}
	member, _ := m.topology.Member(node)
	return member.GetIncarnation()
}

// decide answers a claim from the loaded segment and the records. It reports
// false if the id is free, so that the claim has to be written first.
func (s *shard) decide(c *claim) (claimResult, bool) {
	rec := s.records.get(c.key)
	held, ok := s.held(c.key)
	if !ok {
		return s.decideWithoutEntry(c, rec)
	}
	if held.digest != c.digest {
		return claimResult{err: errKeyReused()}, true
	}
	if rec != nil && rec.attempt != held.attempt {
		s.records.remove(c.key)
		rec = nil
	}
	if held.attempt == c.attempt {
		return s.decideOwn(c, rec), true
	}
	return claimResult{reply: s.decideForeign(held, rec)}, true
}

// decideWithoutEntry answers from a record of a request that runs without a
// stored claim.
func (s *shard) decideWithoutEntry(c *claim, rec *record) (claimResult, bool) {
	if rec == nil || !rec.unclaimed {
		return claimResult{}, false
	}
	if rec.digest != c.digest {
		return claimResult{err: errKeyReused()}, true
	}
	if rec.attempt == c.attempt && rec.state == schema.ClaimState_CLAIM_STATE_NEW {
		return claimResult{reply: rec.reply(rec.state)}, true
	}
	return claimResult{reply: rec.reply(s.foreignState(rec))}, true
}

// decideOwn answers the attempt that holds the claim.
func (s *shard) decideOwn(c *claim, rec *record) claimResult {
	if rec == nil {
		rec = c.record()
		s.run(c.key, rec)
	}
	return claimResult{reply: rec.reply(rec.state)}
}

func (s *shard) decideForeign(held entry, rec *record) *schema.ClaimReply {
	if rec != nil {
		return rec.reply(s.foreignState(rec))
	}
	state := schema.ClaimState_CLAIM_STATE_UNKNOWN
	if held.done {
		state = schema.ClaimState_CLAIM_STATE_DONE
	}
	return &schema.ClaimReply{State: state}
}

// foreignState returns what another attempt is told of a record: a request is
// running only as long as its entry node is a member.
func (s *shard) foreignState(rec *record) schema.ClaimState {
	if rec.state == schema.ClaimState_CLAIM_STATE_DONE {
		return rec.state
	}
	if !s.manager.entryLives(rec) {
		return schema.ClaimState_CLAIM_STATE_UNKNOWN
	}
	return schema.ClaimState_CLAIM_STATE_RUNNING
}

// held returns the stored entry of a key, unless it was released.
func (s *shard) held(key requestKey) (entry, bool) {
	e, ok := s.segment.find(key)
	return e, ok && !s.isReleased(key, e.attempt)
}

func (s *shard) isReleased(key requestKey, attempt uint64) bool {
	_, ok := s.released[release{key, attempt}]
	return ok
}
