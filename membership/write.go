package membership

import (
	"context"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

// zoneWrite is one round of writes: the summary, and the report if it changed.
type zoneWrite struct {
	summary *schema.ZoneSummary
	version objects.Version
	// report is nil if the stored one is up to date.
	report        *schema.ZoneReport
	reportVersion objects.Version
}

// writeEvent is the end of a round of writes.
type writeEvent struct {
	began time.Time
	write zoneWrite
	err   error
}

func (e writeEvent) apply(m *Manager) {
	s := m.state
	s.cycling = false
	z := s.zone(s.ownZone())
	z.reportVersion = e.write.reportVersion
	if e.err != nil {
		m.logger.Warn().Str("event", "membership_write_failed").Err(e.err).Msg("")
		return
	}
	m.inContact(time.Now(), e.began)
	z.version = e.write.version
	z.holder = s.self.GetNode()
	if e.write.report != nil {
		z.written = e.write.summary.GetDigest()
	}
}

// writeOwn writes this zone's summary, and its report unless this node has
// written the same before.
func (m *Manager) writeOwn() {
	s := m.state
	z := s.zone(s.ownZone())
	z.summary = proto.CloneOf(z.summary)
	z.summary.Beat = z.beat + 1
	z.summary.Nonce = uuid.NewString()
	write := zoneWrite{summary: z.summary, version: z.version, reportVersion: z.reportVersion}
	if z.written != z.summary.GetDigest() {
		write.report = proto.CloneOf(z.report)
		write.report.Nonce = z.summary.GetNonce()
	}
	s.cycling = true
	began := time.Now()
	m.start(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, cycleTimeout)
		defer cancel()
		err := m.writeZone(ctx, &write)
		return writeEvent{began: began, write: write, err: err}
	})
}

// writeZone writes the summary first, which proves that this node is still the
// reporter. A lost answer needs no settling: the next round reads the summary,
// and the report is written again.
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

// writeReport writes the report if its version is still the one that this node
// knows. A reporter that was paused meanwhile fails here, since its successor
// has written the report.
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
