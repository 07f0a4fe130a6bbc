package membership

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// summaryPrefix and reportPrefix are the key prefixes of the zones' objects.
	summaryPrefix = "membership/summary/"
	reportPrefix  = "membership/report/"
	// cycleTimeout bounds the reads, and separately the writes, of one cycle.
	cycleTimeout = 2 * time.Second
	// vmPollInterval is how often a reporter reads the platform's list of VMs.
	vmPollInterval = time.Second
)

// readDoneEvent is the result of a cycle's reads.
type readDoneEvent struct {
	startedAt time.Time
	summaries []storedSummary
	reports   []*schema.ZoneReport
	vms       []objects.VMStatus
	vmsRead   bool
	err       error
}

// storedSummary is a summary read from the object API with its object's
// version.
type storedSummary struct {
	summary *schema.ZoneSummary
	version objects.Version
}

// startCycle starts a cycle of reads, which a reporter follows with writes, once
// each report interval. It does so at the reporter and at a node that has no
// reporter to send heartbeats to.
func (m *Manager) startCycle(now time.Time) {
	s := m.state
	if s.cycleInFlight || now.Sub(s.lastCycle) < m.timing.reportInterval {
		return
	}
	if !s.isReporter && s.joined && s.peerAddress(s.reporter) != "" {
		return
	}
	s.cycleInFlight = true
	s.lastCycle = now
	cachedDigests := make(map[string]uint64)
	for name, z := range s.zones {
		cachedDigests[name] = reportDigest(z.report)
	}
	ownZone := ""
	if s.isReporter {
		ownZone = s.ownZone()
	}
	poll := s.isReporter && m.vmPollDue(now)
	m.runAsync(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, cycleTimeout)
		defer cancel()
		e := m.read(ctx, cachedDigests, ownZone, poll)
		e.startedAt = now
		return e
	})
}

// vmPollDue reports whether it is time to read the list of VMs. Every reporter
// reads it, because changes would otherwise reach the other zones two report
// intervals later.
func (m *Manager) vmPollDue(now time.Time) bool {
	return now.Sub(m.state.lastPoll) >= vmPollInterval
}

// read lists the summaries and gets the reports whose digest differs from the
// cached one, except that of ownZone. If poll is set, it also reads the list of
// VMs.
func (m *Manager) read(ctx context.Context, cachedDigests map[string]uint64, ownZone string, poll bool) readDoneEvent {
	objects, err := m.store.List(ctx, summaryPrefix)
	if err != nil {
		return readDoneEvent{err: err}
	}
	var e readDoneEvent
	for _, object := range objects {
		summary := &schema.ZoneSummary{}
		if err := proto.Unmarshal(object.Value, summary); err != nil {
			return readDoneEvent{err: err}
		}
		e.summaries = append(e.summaries, storedSummary{summary, object.Version})
		name := summary.GetAvailabilityZone()
		if name == ownZone || cachedDigests[name] == summary.GetDigest() {
			continue
		}
		report, err := m.readReport(ctx, name)
		if err != nil {
			return readDoneEvent{err: err}
		}
		e.reports = append(e.reports, report)
	}
	if poll {
		e.vms, err = m.store.VMs(ctx)
		e.vmsRead = err == nil
	}
	return e
}

// readReport returns a zone's stored report, or an empty one if there is none.
func (m *Manager) readReport(ctx context.Context, zone string) (*schema.ZoneReport, error) {
	report := &schema.ZoneReport{AvailabilityZone: zone}
	object, err := m.store.Get(ctx, reportKey(zone))
	if objects.IsNotFound(err) {
		return report, nil
	}
	if err != nil {
		return nil, err
	}
	return report, proto.Unmarshal(object.Value, report)
}

func (e readDoneEvent) apply(m *Manager) {
	s := m.state
	now := time.Now()
	s.firstReadDone = true
	s.lastReadFailed = e.err != nil
	s.cycleInFlight = false
	if e.err != nil {
		m.logger.Warn().Str("event", "membership_read_failed").Err(e.err).Msg("")
		m.queryReporters()
		return
	}
	m.recordContact(now, e.startedAt)
	e.merge(s, now)
	if s.isReporter {
		m.detectLostZones(now)
		m.writeOrYield(now)
	} else {
		m.followStoredReporter(now)
	}
	m.publish()
}

// merge takes the reports, the list of VMs and the summaries into the state.
func (e readDoneEvent) merge(s *state, now time.Time) {
	for _, report := range e.reports {
		s.mergeReport(report)
	}
	if e.vmsRead {
		s.lastPoll = now
		s.leavingVMs = leavingVMNames(e.vms)
	}
	for _, stored := range e.summaries {
		s.mergeSummary(stored, now)
	}
}

// leavingVMNames returns the names of the VMs that are leaving, sorted.
func leavingVMNames(vms []objects.VMStatus) []string {
	var names []string
	for _, vm := range vms {
		if vm.Leaving {
			names = append(names, vm.Name)
		}
	}
	slices.Sort(names)
	return names
}

// mergeSummary records a stored summary. While this node is the reporter, only
// version, reporter and beat of its own zone's summary are recorded.
func (s *state) mergeSummary(stored storedSummary, now time.Time) {
	name := stored.summary.GetAvailabilityZone()
	z := s.zone(name)
	if stored.version != z.summaryVersion {
		z.summaryVersion = stored.version
		z.summaryChangedAt = now
		z.summaryChanges++
	}
	z.storedReporter = stored.summary.GetReporter()
	z.storedBeat = stored.summary.GetBeat()
	if s.isReporter && name == s.ownZone() {
		return
	}
	summary := proto.CloneOf(stored.summary)
	summary.Lost = z.summary.GetLost()
	summary.Digest = reportDigest(z.report)
	z.summary = summary
}

// detectLostZones marks zones as lost whose summary has not changed for the time
// returned by zoneLostAfter, and clears the mark of those whose summary has. It
// is called only after successful reads, so that an outage of the object API
// marks no zone as lost.
func (m *Manager) detectLostZones(now time.Time) {
	s := m.state
	var silent []string
	for _, name := range s.zoneNames() {
		z := s.zones[name]
		overdue := name != s.ownZone() && now.Sub(z.summaryChangedAt) >= m.zoneLostAfter()
		if !overdue {
			z.setLost(false)
		}
		if overdue && !z.summary.GetLost() {
			silent = append(silent, name)
		}
	}
	holds := holdTimes{few: m.timing.reportInterval, many: m.timing.suspectAfter + m.timing.reportInterval}
	if !s.zoneRemoval.removalDue(silent, len(s.zones), holds, now) {
		return
	}
	m.logger.Warn().Str("event", "zones_lost").Strs("availability_zones", silent).Msg("")
	for _, name := range silent {
		s.zones[name].setLost(true)
	}
}

// setLost sets whether the zone is lost. It replaces the summary rather than
// changing it, since replies may still refer to the old one.
func (z *zone) setLost(lost bool) {
	if z.summary.GetLost() == lost {
		return
	}
	z.summary = proto.CloneOf(z.summary)
	z.summary.Lost = lost
}

// writeOrYield decides from the stored summary whether this reporter writes its
// own summary, waits or yields to another reporter. The other reporter is alive
// if its summary has changed again since this node became the reporter.
func (m *Manager) writeOrYield(now time.Time) {
	z := m.state.zone(m.state.ownZone())
	ownsSummary := z.summaryVersion == 0 || z.storedReporter == m.state.self.GetNode()
	if !ownsSummary && z.summaryChanges > 1 {
		m.yieldTo(z.storedReporter, now)
		return
	}
	if ownsSummary || now.Sub(z.summaryChangedAt) >= m.takeoverDelay() {
		m.refreshReport(now)
		m.writeOwnZone()
	}
}

// takeoverDelay returns how long a stored summary must stay unchanged before
// another node takes over as the zone's reporter.
func (m *Manager) takeoverDelay() time.Duration {
	return 2 * (m.timing.reportInterval + m.timing.heartbeatInterval)
}

// followStoredReporter makes the reporter that the stored summary names this
// node's reporter, if it has none. If this node has not joined yet and that
// reporter has stopped writing, this node takes over.
func (m *Manager) followStoredReporter(now time.Time) {
	s := m.state
	z := s.zone(s.ownZone())
	if s.peerAddress(s.reporter) == "" {
		// The reporter is no longer a member.
		s.reporter = ""
	}
	if z.storedReporter == "" || z.storedReporter == s.self.GetNode() {
		return
	}
	if !s.joined && now.Sub(z.summaryChangedAt) >= m.takeoverDelay() && s.mayReport(now) {
		m.becomeReporter(now)
		return
	}
	if _, unreachable := s.unreachable[z.storedReporter]; !unreachable && s.reporter == "" {
		m.setReporter(z.storedReporter)
		m.sendHeartbeat(now)
	}
}
