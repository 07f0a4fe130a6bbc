package membership

import (
	"context"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

// zoneWrite holds the objects that one cycle writes: the summary, and the report
// if it changed. The writes update the versions.
type zoneWrite struct {
	summary *schema.ZoneSummary
	version objects.Version
	// report is nil if the stored one is up to date.
	report        *schema.ZoneReport
	reportVersion objects.Version
}

// writeDoneEvent is the result of a cycle's writes.
type writeDoneEvent struct {
	startedAt time.Time
	write     zoneWrite
	err       error
}

func (e writeDoneEvent) apply(m *Manager) {
	s := m.state
	s.cycleInFlight = false
	z := s.zone(s.ownZone())
	z.reportVersion = e.write.reportVersion
	if e.err != nil {
		m.logger.Warn().Str("event", "membership_write_failed").Err(e.err).Msg("")
		return
	}
	m.recordContact(time.Now(), e.startedAt)
	z.summaryVersion = e.write.version
	z.storedReporter = s.self.GetNode()
	if e.write.report != nil {
		z.writtenDigest = e.write.summary.GetDigest()
	}
}

// writeOwnZone writes this zone's summary, and its report unless this node wrote
// the same report last.
func (m *Manager) writeOwnZone() {
	s := m.state
	z := s.zone(s.ownZone())
	z.summary = proto.CloneOf(z.summary)
	z.summary.Beat = z.storedBeat + 1
	z.summary.Nonce = uuid.NewString()
	write := zoneWrite{summary: z.summary, version: z.summaryVersion, reportVersion: z.reportVersion}
	if z.writtenDigest != z.summary.GetDigest() {
		write.report = proto.CloneOf(z.report)
		write.report.Nonce = z.summary.GetNonce()
	}
	s.cycleInFlight = true
	startedAt := time.Now()
	m.runAsync(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, cycleTimeout)
		defer cancel()
		err := m.writeZone(ctx, &write)
		return writeDoneEvent{startedAt: startedAt, write: write, err: err}
	})
}

// writeZone writes the summary first, which proves that this node is still the
// reporter. If the response to a write is lost, nothing needs to be undone: the
// next cycle reads the summary and writes the report again.
func (m *Manager) writeZone(ctx context.Context, w *zoneWrite) error {
	value, err := proto.Marshal(w.summary)
	if err != nil {
		return err
	}
	w.version, err = m.store.Put(ctx, summaryKey(w.summary.GetAvailabilityZone()), value, w.version)
	if err != nil || w.report == nil {
		return err
	}
	return m.writeReport(ctx, w)
}

// writeReport writes the report if its stored version is still the one known to
// this node. The write of a reporter that was paused fails here, because its
// successor has written the report.
func (m *Manager) writeReport(ctx context.Context, w *zoneWrite) error {
	key := reportKey(w.report.GetAvailabilityZone())
	value, err := proto.Marshal(w.report)
	if err != nil {
		return err
	}
	if w.reportVersion == 0 {
		object, err := m.store.Get(ctx, key)
		if err != nil && !objects.IsNotFound(err) {
			return err
		}
		w.reportVersion = object.Version
	}
	version, err := m.store.Put(ctx, key, value, w.reportVersion)
	w.reportVersion = version
	return err
}

func summaryKey(zone string) string { return summaryPrefix + zone }

func reportKey(zone string) string { return reportPrefix + zone }
