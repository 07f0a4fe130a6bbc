package resume

import (
	"fmt"
	"strings"
	"time"

	"github.com/primrosemoor/primrosemoor/clock"
)

// segments divides the records of this node into objects of the store. A write whose
// outcome is unknown may take effect later, so that its object is not written again: its
// records go into the next one.
type segments struct {
	node string
	// number is that of the open segment, records what it holds, or will after the next
	// write, begun when it was first written and revision that of its object; 0 before.
	number   int
	records  []Record
	begun    clock.Instant
	revision uint64
	// version is the version of the registry up to which records are taken.
	version uint64
	// unwritten is set if records has some that the store may not have.
	unwritten bool
	// closed holds when each segment that is no longer written was closed.
	closed map[string]clock.Instant
}

// segmentWrite is a write of a segment that holds the records up to a version.
type segmentWrite struct {
	name              string
	records           []Record
	revision, version uint64
}

func (s *segments) name() string { return fmt.Sprintf("%s.%08d", s.node, s.number) }

// segmentOwner returns the node that a segment is named after.
func segmentOwner(name string) string {
	if i := strings.LastIndexByte(name, '.'); i >= 0 {
		return name[:i]
	}
	return name
}

// next returns the next write, if there is anything to write.
func (s *segments) next(r *Registry, ownOnly bool, now clock.Instant) (segmentWrite, bool) {
	added, version := r.Since(s.version, ownOnly)
	s.version = version
	if len(added) == 0 && !s.unwritten {
		return segmentWrite{}, false
	}
	if s.revision != 0 && !s.unwritten && (len(s.records) >= segmentRecords || now.Sub(s.begun) >= segmentTime) {
		s.close(now)
	}
	s.records, s.unwritten = lastOfEach(append(s.records, added...)), true
	return segmentWrite{s.name(), s.records, s.revision, s.version}, true
}

// written records the outcome of the write that next returned.
func (s *segments) written(revision uint64, now clock.Instant) {
	if s.revision == 0 {
		s.begun = now
	}
	s.revision, s.unwritten = revision, false
}

// failed records that the write that next returned has failed. If the object may hold
// something else now or later, the records go into the next one.
func (s *segments) failed(mayDiffer bool, now clock.Instant) {
	if !mayDiffer {
		return
	}
	records := s.records
	s.close(now)
	s.records = records
}

// close begins the next segment.
func (s *segments) close(now clock.Instant) {
	s.keep(s.name(), now)
	s.number++
	s.records, s.revision = nil, 0
}

// keep makes expired return a segment after the retention.
func (s *segments) keep(name string, now clock.Instant) {
	if s.closed == nil {
		s.closed = make(map[string]clock.Instant)
	}
	s.closed[name] = now
}

// rewrite makes next return all records that the registry has.
func (s *segments) rewrite(now clock.Instant) {
	s.close(now)
	s.version = 0
}

// skip takes the records of the registry without writing them.
func (s *segments) skip(r *Registry) {
	_, s.version = r.Since(s.version, true)
	r.SetWritten(s.version, false)
}

// expired returns the segments that were closed longer ago than the retention, and forgets
// them.
func (s *segments) expired(now clock.Instant, retention time.Duration) (names []string) {
	for name, at := range s.closed {
		if now.Sub(at) > retention {
			names = append(names, name)
			delete(s.closed, name)
		}
	}
	return names
}

// deadSegments are the segments of nodes that have ended, and since when they are known to
// be.
type deadSegments struct {
	since    map[string]clock.Instant
	lookedAt clock.Instant
}

// due reports whether the segments are to be looked at: twice in a retention, and not right
// after the start.
func (d *deadSegments) due(now clock.Instant, retention time.Duration) bool {
	first := d.lookedAt == 0
	if !first && now.Sub(d.lookedAt) < retention/2 {
		return false
	}
	d.lookedAt = now
	return !first
}

// expired returns the segments whose nodes ended longer ago than the retention.
func (d *deadSegments) expired(all []Segment, alive func(node string) bool, now clock.Instant, retention time.Duration) (names []string) {
	since := make(map[string]clock.Instant)
	for _, segment := range all {
		if alive(segmentOwner(segment.Name)) {
			continue
		}
		at, known := d.since[segment.Name]
		if !known {
			at = now
		}
		if now.Sub(at) > retention {
			names = append(names, segment.Name)
			continue
		}
		since[segment.Name] = at
	}
	d.since = since
	return names
}
