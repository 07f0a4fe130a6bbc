package ledger

import "time"

// next returns the segment that the next write stores: the present one without
// what was released or is too old, and with the claims that wait.
func (s *shard) next(now time.Time) *segment {
	horizon := trimTime(now, s.manager.retention).UnixMilli()
	n := &segment{epoch: s.segment.epoch + 1, trimmed: max(s.segment.trimmed, horizon)}
	n.parts = withoutOld(s.segment.parts, horizon)
	entries := s.kept(horizon)
	if len(entries) >= s.manager.sealEntries {
		n.parts = seal(n.parts, entries)
		entries = nil
	}
	entries = append(entries, s.releases(now)...)
	n.setEntries(append(entries, s.unwritten(now)...))
	return n
}

// kept returns the segment's entries that stay. A claim that was released is
// left out; what it overrides in the parts is released by releases.
func (s *shard) kept(horizon int64) []entry {
	var entries []entry
	for _, e := range s.segment.entries {
		if e.claimedUnixMs < horizon {
			s.records.remove(e.key)
			continue
		}
		if !e.released && s.isReleased(e.key, e.attempt) {
			continue
		}
		attempt, marked := s.done[e.key]
		e.done = e.done || marked && attempt == e.attempt
		entries = append(entries, e)
	}
	return entries
}

// releases returns the entries that override claims in the parts whose
// attempts were released.
func (s *shard) releases(now time.Time) []entry {
	var entries []entry
	for r := range s.released {
		current, held := s.segment.find(r.key)
		if !held || current.attempt != r.attempt {
			continue
		}
		if _, inParts := s.segment.findInParts(r.key); !inParts {
			continue
		}
		entries = append(entries, entry{key: r.key, claimedUnixMs: now.UnixMilli(), attempt: r.attempt, released: true})
	}
	return entries
}

// unwritten returns the entries of the claims that the next write adds.
func (s *shard) unwritten(now time.Time) []entry {
	var entries []entry
	added := make(map[requestKey]bool)
	add := func(c *claim) {
		if _, held := s.held(c.key); held || added[c.key] || len(entries) >= maxBatch {
			return
		}
		added[c.key] = true
		entries = append(entries, c.entry(now.UnixMilli()))
	}
	for _, c := range s.unclaimed {
		add(c)
	}
	for _, c := range s.waiting {
		add(c)
	}
	return entries
}
