package ledger

import "time"

// nextSegment returns the segment that the next write stores: the current one
// without released and expired claims, and with the waiting claims.
func (s *shard) nextSegment(now time.Time) *segment {
	cutoff := expiryCutoff(now, s.manager.retention).UnixMilli()
	n := &segment{epoch: s.segment.epoch + 1, trimmedBefore: max(s.segment.trimmedBefore, cutoff)}
	n.parts = withoutExpired(s.segment.parts, cutoff)
	entries := s.retainedEntries(cutoff)
	if len(entries) >= s.manager.sealThreshold {
		n.parts = sealIntoPart(n.parts, entries)
		entries = nil
	}
	entries = append(entries, s.releaseEntries(now)...)
	n.setEntries(append(entries, s.newEntries(now)...))
	return n
}

// retainedEntries returns the segment's entries that the next segment keeps. It
// omits released claims; releaseEntries releases those in the parts.
func (s *shard) retainedEntries(cutoff int64) []entry {
	var entries []entry
	for _, e := range s.segment.entries {
		if e.claimedUnixMs < cutoff {
			s.records.remove(e.key)
			continue
		}
		if !e.released && s.isReleased(e.key, e.attempt) {
			continue
		}
		attempt, marked := s.doneMarks[e.key]
		e.done = e.done || marked && attempt == e.attempt
		entries = append(entries, e)
	}
	return entries
}

// releaseEntries returns the entries that mark released claims in the parts,
// which are immutable, as released.
func (s *shard) releaseEntries(now time.Time) []entry {
	var entries []entry
	for r := range s.pendingReleases {
		current, found := s.segment.find(r.key)
		if !found || current.attempt != r.attempt {
			continue
		}
		if _, inParts := s.segment.findInParts(r.key); !inParts {
			continue
		}
		entries = append(entries, entry{key: r.key, claimedUnixMs: now.UnixMilli(), attempt: r.attempt, released: true})
	}
	return entries
}

// newEntries returns the entries of the claims that the next write adds.
func (s *shard) newEntries(now time.Time) []entry {
	var entries []entry
	added := make(map[requestKey]bool)
	add := func(c *claim) {
		if _, found := s.activeEntry(c.key); found || added[c.key] || len(entries) >= maxClaimsPerWrite {
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
