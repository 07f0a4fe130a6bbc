package ledger

import (
	"context"
	"errors"

	"github.com/primrosemoor/primrosemoor/schema"
)

// claim is a pending Claim call.
type claim struct {
	ctx     context.Context
	request *schema.ClaimRequest
	key     requestKey
	shard   uint32
	attempt uint64
	digest  uint64
	// result is buffered, so that the Run goroutine never blocks on it.
	result chan claimResult
}

type claimResult struct {
	reply *schema.ClaimReply
	err   error
}

var errCommitTimeout = errors.New("ledger: the commit took too long")

// resultAfterCancel returns the result of a claim whose context has ended: the
// result if there already is one, otherwise an error.
func (c *claim) resultAfterCancel() (*schema.ClaimReply, error) {
	select {
	case r := <-c.result:
		return r.reply, r.err
	default:
	}
	if errors.Is(c.ctx.Err(), context.DeadlineExceeded) {
		return nil, errStoreUnavailable(errCommitTimeout)
	}
	return nil, errStoreUnavailable(c.ctx.Err())
}

func (c *claim) fail(err error) {
	c.result <- claimResult{err: err}
}

// entry returns the entry that stores the claim.
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

// entryProcessAlive reports whether the entry process of a request is still a
// member. A process that was restarted under the same name has another
// incarnation and does not run the request.
func (m *Manager) entryProcessAlive(rec *record) bool {
	member, ok := m.topology.Member(rec.entryNode)
	return ok && (rec.incarnation == 0 || rec.incarnation == member.GetIncarnation())
}

// addRunning adds the record of a running request. A record that a previous
// owner handed over already has the incarnation of the process that claimed the
// request; otherwise the member's current incarnation is used.
func (s *shard) addRunning(key requestKey, rec *record) {
	if rec.incarnation == 0 {
		rec.incarnation = s.manager.incarnation(rec.entryNode)
	}
	s.records.setRunning(key, rec)
}

// incarnation returns the incarnation of a member, or zero if it is unknown.
func (m *Manager) incarnation(node string) uint64 {
	if m.topology == nil {
		return 0
	}
	member, _ := m.topology.Member(node)
	return member.GetIncarnation()
}

// decide returns the result of a claim from the loaded segment and the records.
// It reports false if the id is free, so that the claim must be written first.
func (s *shard) decide(c *claim) (claimResult, bool) {
	rec := s.records.get(c.key)
	current, ok := s.activeEntry(c.key)
	if !ok {
		return s.decideUnclaimed(c, rec)
	}
	if current.digest != c.digest {
		return claimResult{err: errKeyReused()}, true
	}
	if rec != nil && rec.attempt != current.attempt {
		s.records.remove(c.key)
		rec = nil
	}
	if current.attempt == c.attempt {
		return s.decideHolder(c, rec), true
	}
	return claimResult{reply: s.decideOther(current, rec)}, true
}

// decideUnclaimed returns the result of a claim whose id has no stored entry. It
// reports false unless the request runs without a stored claim.
func (s *shard) decideUnclaimed(c *claim, rec *record) (claimResult, bool) {
	if rec == nil || !rec.unclaimed {
		return claimResult{}, false
	}
	if rec.digest != c.digest {
		return claimResult{err: errKeyReused()}, true
	}
	if rec.attempt == c.attempt && rec.state == schema.ClaimState_CLAIM_STATE_NEW {
		return claimResult{reply: rec.reply(rec.state)}, true
	}
	return claimResult{reply: rec.reply(s.stateForOthers(rec))}, true
}

// decideHolder returns the result for the attempt that holds the claim.
func (s *shard) decideHolder(c *claim, rec *record) claimResult {
	if rec == nil {
		rec = c.record()
		s.addRunning(c.key, rec)
	}
	return claimResult{reply: rec.reply(rec.state)}
}

func (s *shard) decideOther(current entry, rec *record) *schema.ClaimReply {
	if rec != nil {
		return rec.reply(s.stateForOthers(rec))
	}
	state := schema.ClaimState_CLAIM_STATE_UNKNOWN
	if current.done {
		state = schema.ClaimState_CLAIM_STATE_DONE
	}
	return &schema.ClaimReply{State: state}
}

// stateForOthers returns the state of a request that is reported to attempts
// other than its own. A request counts as running only while its entry process
// is a member.
func (s *shard) stateForOthers(rec *record) schema.ClaimState {
	if rec.state == schema.ClaimState_CLAIM_STATE_DONE {
		return rec.state
	}
	if !s.manager.entryProcessAlive(rec) {
		return schema.ClaimState_CLAIM_STATE_UNKNOWN
	}
	return schema.ClaimState_CLAIM_STATE_RUNNING
}

// activeEntry returns the stored entry of a key, unless it was released.
func (s *shard) activeEntry(key requestKey) (entry, bool) {
	e, ok := s.segment.find(key)
	return e, ok && !s.isReleased(key, e.attempt)
}

func (s *shard) isReleased(key requestKey, attempt uint64) bool {
	_, ok := s.pendingReleases[release{key, attempt}]
	return ok
}
