package resume

import (
	"time"

	"github.com/primrosemoor/primrosemoor/clock"
)

// maxRecords bounds the records of a generation, and of a log.
const maxRecords = 1 << 16

// generations holds records by stream for at least the retention, and for twice that at
// the most. It is ready for use when zero.
type generations struct {
	current, previous map[ID]Origin
	begun             clock.Instant
}

// add adds a record, and reports whether it is new.
func (g *generations) add(r Record, now clock.Instant, retention time.Duration) bool {
	if now.Sub(g.begun) >= retention || len(g.current) >= maxRecords {
		g.previous, g.current, g.begun = g.current, make(map[ID]Origin), now
	}
	if known, ok := g.get(r.ID); ok && known == r.Origin {
		return false
	}
	g.current[r.ID] = r.Origin
	return true
}

func (g *generations) get(id ID) (Origin, bool) {
	if o, ok := g.current[id]; ok {
		return o, true
	}
	o, ok := g.previous[id]
	return o, ok
}

// entry is a record that this node made, or that another node of its zone told it.
type entry struct {
	Record
	own bool
	at  clock.Instant
}

// recordLog holds entries in order. Each has a version, one more than the one before.
type recordLog struct {
	entries []entry
	// last is the version of the last entry.
	last uint64
}

func (l *recordLog) add(e entry) {
	l.entries = append(l.entries, e)
	l.last++
}

// trim drops entries that are older than the retention.
func (l *recordLog) trim(now clock.Instant, retention time.Duration) {
	drop := max(0, len(l.entries)-maxRecords)
	for drop < len(l.entries) && now.Sub(l.entries[drop].at) > retention {
		drop++
	}
	l.entries = l.entries[drop:]
}

// since returns the entries after a version.
func (l *recordLog) since(version uint64) []entry {
	first := l.last - uint64(len(l.entries))
	if version <= first {
		return l.entries
	}
	return l.entries[min(version, l.last)-first:]
}

// lastOfEach returns the last record of each stream, in the order of the records.
func lastOfEach(records []Record) []Record {
	last := make(map[ID]int, len(records))
	for i, r := range records {
		last[r.ID] = i
	}
	if len(last) == len(records) {
		return records
	}
	kept := records[:0]
	for i, r := range records {
		if last[r.ID] == i {
			kept = append(kept, r)
		}
	}
	return kept
}
