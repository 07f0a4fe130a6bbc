package resume

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/singleflight"

	"github.com/primrosemoor/primrosemoor/clock"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// ErrChanged is returned by Objects.WritePossible and Objects.WriteSegment when another
// writer has changed the object, or has removed it.
var ErrChanged = errors.New("resume: the object was changed by another writer")

// Objects is the platform's store as an Archive uses it. Errors are ErrChanged or
// *fault.Error; a write that fails with kind unknown-effect may take effect later.
type Objects interface {
	// ReadPossible returns what the store lists and the revision of the object, 0 if there
	// is none.
	ReadPossible(ctx context.Context) (p Possible, revision uint64, err error)
	// WritePossible replaces the object of a revision, or creates it if that is 0.
	WritePossible(ctx context.Context, p Possible, revision uint64) (written uint64, err error)
	// WriteSegment replaces the segment of a revision, or creates it if that is 0.
	WriteSegment(ctx context.Context, name string, records []Record, revision uint64) (written uint64, err error)
	RemoveSegment(ctx context.Context, name string) error
	// Segments returns all segments in the order of their names.
	Segments(ctx context.Context) ([]Segment, error)
}

// Segment is an object of the store with records of one node.
type Segment struct {
	Name    string
	Records []Record
}

const (
	// readTimeout bounds a read for a caller that takes a stream up, writeTimeout a write.
	readTimeout  = 500 * time.Millisecond
	writeTimeout = time.Second
	// flushInterval is the shortest time between two writes of records by one node. The
	// time from the choice of a target to its first event covers most of it.
	flushInterval = 150 * time.Millisecond
	// retryInterval is the pause after a write of records that failed, and listInterval the
	// shortest time between two writes of what is listed.
	retryInterval = 300 * time.Millisecond
	listInterval  = time.Second
	// listDelay is how long a node waits before it lists a new version in the store: all
	// nodes have then seen the version, and have written what began before. Each other
	// node adds listSpread at random, so that mostly one writes.
	listDelay     = 500 * time.Millisecond
	listSpread    = 5 * time.Millisecond
	maxListSpread = 2 * time.Second
	// checkInterval is the longest time between two looks at what is due.
	checkInterval = time.Second
	// segmentRecords and segmentTime bound a segment; then the next one is begun.
	segmentRecords = 512
	segmentTime    = 10 * time.Second
)

// Archive keeps in the store what must outlive all nodes: where streams may have begun and,
// while that is ambiguous, where each one did.
type Archive struct {
	Registry *Registry
	Objects  Objects
	// Node names this lifetime of the node, and sorts after its earlier ones.
	Node string
	// Nodes returns the number of nodes. Alive reports whether the lifetime of a node that
	// a segment is named after may still be running.
	Nodes func() int
	Alive func(node string) bool
	// Writes reports whether this node writes records to the store, and whether it does so
	// for its whole zone.
	Writes func() (writes, forZone bool)
	// Cleans reports whether this node removes the segments of nodes that have ended.
	Cleans func() bool
	// Era returns how often the store has come back from an older copy.
	Era func() uint64
	// OnAdmitted is called when Registry.Admit may return other targets.
	OnAdmitted func()
	Logger     *log.Logger

	wake   chan struct{}
	reads  *singleflight.Group
	state  archiveState
	listed listedRevision
}

// listedRevision is the revision of the object that lists the possible origins, when it
// was last read or written.
type listedRevision struct {
	mu       sync.Mutex
	revision uint64
}

// forget lets the next answer of the store hold whatever its revision is.
func (l *listedRevision) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = 0
}

// archiveState is owned by the goroutine of Run.
type archiveState struct {
	segments segments
	// era and forZone are those of the step before.
	era     uint64
	forZone bool
	// dueAt is when unlisted origins are listed, 0 if there are none.
	dueAt clock.Instant
	// flushAt and listAt are the earliest times of the next writes.
	flushAt, listAt clock.Instant
	dead            deadSegments
}

// Open prepares the archive for use and returns it. Its options must be set.
func (a *Archive) Open() *Archive {
	a.wake, a.reads = make(chan struct{}, 1), &singleflight.Group{}
	a.state.segments.node = a.Node
	return a
}

// Wake makes Run look at what has changed in the registry.
func (a *Archive) Wake() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run writes to the store what has changed, until ctx ends.
func (a *Archive) Run(ctx context.Context) {
	a.reread(ctx)
	a.Registry.SetWritten(0, true)
	for ctx.Err() == nil {
		timer := time.NewTimer(a.step(ctx, clock.Now()))
		select {
		case <-a.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// step does what is due, and returns the time until something else may be.
func (a *Archive) step(ctx context.Context, now clock.Instant) time.Duration {
	s := &a.state
	writes, forZone := a.Writes()
	if era := a.Era(); era != s.era || forZone != s.forZone {
		if s.era != 0 {
			// What was written may be lost, or was left to another node. Revisions may have gone
			// back.
			s.segments.rewrite(now)
			a.listed.forget()
			a.reread(ctx)
		}
		s.era, s.forZone = era, forZone
	}
	next := checkInterval
	if writes {
		next = min(next, a.flush(ctx, now))
	} else {
		s.segments.skip(a.Registry)
	}
	next = min(next, a.list(ctx, now))
	a.clean(ctx, now)
	return max(next, 0)
}

// flush writes the records that the store does not have, and returns the time until the
// next write.
func (a *Archive) flush(ctx context.Context, now clock.Instant) time.Duration {
	s := &a.state
	if wait := s.flushAt.Sub(now); wait > 0 {
		return wait
	}
	w, ok := s.segments.next(a.Registry, !s.forZone, now)
	if !ok {
		return checkInterval
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	revision, err := a.Objects.WriteSegment(ctx, w.name, w.records, w.revision)
	if err != nil {
		a.Logger.Warn().Str("event", "stream_records_unwritten").Str("segment", w.name).Int("records", len(w.records)).Err(err).Msg("")
		s.segments.failed(mayTakeEffect(err), now)
		a.Registry.SetWritten(0, false)
		s.flushAt = now.Add(retryInterval)
		return retryInterval
	}
	s.segments.written(revision, now)
	a.Registry.SetWritten(w.version, true)
	s.flushAt = now.Add(flushInterval)
	return flushInterval
}

// mayTakeEffect reports whether an object may hold something else than was last read of it
// or written, now or later.
func mayTakeEffect(err error) bool {
	return errors.Is(err, ErrChanged) || fault.KindOf(err) == schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT
}

// list brings up to date what the store lists, and returns the time until that is due.
func (a *Archive) list(ctx context.Context, now clock.Instant) time.Duration {
	s := &a.state
	add, drop := a.Registry.Unlisted(), a.Registry.Retired()
	if add.isEmpty() && drop.isEmpty() {
		s.dueAt = 0
		return checkInterval
	}
	if s.dueAt == 0 {
		s.dueAt = now.Add(a.listDelay())
	}
	if wait := max(s.dueAt.Sub(now), s.listAt.Sub(now)); wait > 0 {
		return wait
	}
	s.listAt = now.Add(listInterval)
	if err := a.change(ctx, add, drop); err != nil {
		a.Logger.Warn().Str("event", "stream_origins_unlisted").Err(err).Msg("")
	}
	return listInterval
}

// listDelay returns how long this node waits before it lists a new origin. If nothing is
// listed yet, streams are not held for it.
func (a *Archive) listDelay() time.Duration {
	spread := min(time.Duration(a.Nodes())*listSpread, maxListSpread)
	if !a.Registry.IsListed() {
		return rand.N(spread + 1)
	}
	return listDelay + rand.N(spread+1)
}

// change writes one change of what the store lists. It is dropped if another writer was
// faster; what is then missing is seen after the next read.
func (a *Archive) change(ctx context.Context, add, drop Possible) error {
	p, revision, known := a.lastListed()
	if !known {
		return a.ReadPossible(ctx)
	}
	p = p.union(add).minus(drop)
	for route, services := range p.Routes {
		if len(services) < 2 {
			delete(p.Routes, route)
		}
	}
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	written, err := a.Objects.WritePossible(writeCtx, p, revision)
	if err != nil {
		if readErr := a.ReadPossible(ctx); readErr != nil {
			return errors.Join(err, readErr)
		}
		if errors.Is(err, ErrChanged) {
			return nil
		}
		return err
	}
	a.Logger.Info().Str("event", "stream_origins_listed").Str("added", fmt.Sprint(add)).Str("dropped", fmt.Sprint(drop)).Msg("")
	a.apply(p, written)
	return nil
}

func (a *Archive) lastListed() (p Possible, revision uint64, known bool) {
	listed := a.Registry.Listed()
	a.listed.mu.Lock()
	defer a.listed.mu.Unlock()
	if listed == nil {
		return Possible{}, 0, false
	}
	return *listed, a.listed.revision, true
}

// apply applies what the store lists at a revision of the object. An answer that is older
// than another one is dropped.
func (a *Archive) apply(p Possible, revision uint64) {
	if a.setListed(p, revision) {
		a.OnAdmitted()
	}
}

func (a *Archive) setListed(p Possible, revision uint64) (admitsOthers bool) {
	a.listed.mu.Lock()
	defer a.listed.mu.Unlock()
	if revision < a.listed.revision {
		return false
	}
	a.listed.revision = revision
	return a.Registry.SetListed(p)
}

func (a *Archive) reread(ctx context.Context) {
	if err := a.ReadPossible(ctx); err != nil {
		a.Logger.Warn().Str("event", "stream_origins_unread").Err(err).Msg("")
	}
}

// ReadPossible reads from the store where streams may have begun. Calls at the same time
// share one read.
func (a *Archive) ReadPossible(ctx context.Context) error {
	return a.share(ctx, "possible", func(ctx context.Context) error {
		p, revision, err := a.Objects.ReadPossible(ctx)
		if err != nil {
			return err
		}
		a.apply(p, revision)
		return nil
	})
}

// ReadRecords reads from the store where streams began. Calls at the same time share one
// read.
func (a *Archive) ReadRecords(ctx context.Context) error {
	return a.share(ctx, "records", func(ctx context.Context) error {
		segments, err := a.Objects.Segments(ctx)
		if err != nil {
			return err
		}
		var records []Record
		for _, s := range segments {
			records = append(records, s.Records...)
		}
		a.Registry.Adopt(lastOfEach(records))
		return nil
	})
}

// share runs a read, or waits for one of the same name that runs. It does not end with the
// caller who began it.
func (a *Archive) share(ctx context.Context, name string, read func(context.Context) error) error {
	result := a.reads.DoChan(name, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readTimeout)
		defer cancel()
		return nil, read(ctx)
	})
	select {
	case r := <-result:
		return r.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// clean removes the segments whose streams no caller takes up any more.
func (a *Archive) clean(ctx context.Context, now clock.Instant) {
	s, retention := &a.state, a.Registry.Retention()
	names := s.segments.expired(now, retention)
	if a.Cleans() && s.dead.due(now, retention) {
		names = append(names, a.expiredOfDead(ctx, now, retention)...)
	}
	for _, name := range names {
		err := a.removeSegment(ctx, name)
		if err != nil && fault.KindOf(err) != schema.ErrorKind_ERROR_KIND_NOT_FOUND {
			a.Logger.Warn().Str("event", "stream_segment_kept").Str("segment", name).Err(err).Msg("")
			s.segments.keep(name, now)
		}
	}
}

// expiredOfDead returns the segments of nodes that ended longer ago than the retention.
func (a *Archive) expiredOfDead(ctx context.Context, now clock.Instant, retention time.Duration) []string {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	segments, err := a.Objects.Segments(ctx)
	if err != nil {
		a.Logger.Warn().Str("event", "stream_segments_unread").Err(err).Msg("")
		return nil
	}
	return a.state.dead.expired(segments, a.Alive, now, retention)
}

func (a *Archive) removeSegment(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return a.Objects.RemoveSegment(ctx, name)
}
