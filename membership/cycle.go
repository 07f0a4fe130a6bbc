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
	summaryPrefix = "membership/summary/"
	reportPrefix  = "membership/report/"
	// cycleTimeout bounds one round of reads or writes.
	cycleTimeout = 2 * time.Second
	// vmPollInterval is how often a reporter reads the platform's list of VMs.
	vmPollInterval = time.Second
)

// readEvent is the end of a round of reads.
type readEvent struct {
	began     time.Time
	summaries []storedSummary
	reports   []*schema.ZoneReport
	vms       []objects.VMStatus
	polled    bool
	err       error
}

// storedSummary is a summary with its object's version.
type storedSummary struct {
	summary *schema.ZoneSummary
	version objects.Version
}

// startCycle begins a round of reads once each report interval, at the
// reporter, and at a node that knows no reporter to send to.
func (m *Manager) startCycle(now time.Time) {
	s := m.state
	if s.cycling || now.Sub(s.lastCycle) < m.timing.report {
		return
	}
	if !s.acting && s.attached && s.address(s.reporter) != "" {
		return
	}
	s.cycling = true
	s.lastCycle = now
	held := make(map[string]uint64)
	for name, z := range s.zones {
		held[name] = reportDigest(z.report)
	}
	own := ""
	if s.acting {
		own = s.ownZone()
	}
	poll := s.acting && m.pollsVMs(now)
	m.start(func(ctx context.Context) event {
		ctx, cancel := context.WithTimeout(ctx, cycleTimeout)
		defer cancel()
		e := m.read(ctx, held, own, poll)
		e.began = now
		return e
	})
}

// pollsVMs reports whether it is time to read the list of VMs. Every reporter
// reads it, because its news would otherwise reach the other zones two report
// intervals later.
func (m *Manager) pollsVMs(now time.Time) bool {
	return now.Sub(m.state.lastPoll) >= vmPollInterval
}

// read lists the summaries and gets the reports that are not held, except
// that of the zone own.
func (m *Manager) read(ctx context.Context, held map[string]uint64, own string, poll bool) readEvent {
	objects, err := m.store.List(ctx, summaryPrefix)
	if err != nil {
		return readEvent{err: err}
	}
	var e readEvent
	for _, object := range objects {
		summary := &schema.ZoneSummary{}
		if err := proto.Unmarshal(object.Value, summary); err != nil {
			return readEvent{err: err}
		}
		e.summaries = append(e.summaries, storedSummary{summary, object.Version})
		name := summary.GetAvailabilityZone()
		if name == own || held[name] == summary.GetDigest() {
			continue
		}
		report, err := m.readReport(ctx, name)
		if err != nil {
			return readEvent{err: err}
		}
		e.reports = append(e.reports, report)
	}
	if poll {
		e.vms, err = m.store.VMs(ctx)
		e.polled = err == nil
	}
	return e
}

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

func (e readEvent) apply(m *Manager) {
	s := m.state
	now := time.Now()
	s.looked = true
	s.readFailed = e.err != nil
	s.cycling = false
	if e.err != nil {
		m.logger.Warn().Str("event", "membership_read_failed").Err(e.err).Msg("")
		m.askReporters()
		return
	}
	m.inContact(now, e.began)
	e.adopt(s, now)
	if s.acting {
		m.judgeZones(now)
		m.arbitrate(now)
	} else {
		m.adoptHolder(now)
	}
	m.publish()
}

func (e readEvent) adopt(s *state, now time.Time) {
	for _, report := range e.reports {
		s.adoptReport(report)
	}
	if e.polled {
		s.lastPoll = now
		s.leavingVMs = leaving(e.vms)
	}
	for _, stored := range e.summaries {
		s.adoptSummary(stored, now)
	}
}

func leaving(vms []objects.VMStatus) []string {
	var names []string
	for _, vm := range vms {
		if vm.Leaving {
			names = append(names, vm.Name)
		}
	}
	slices.Sort(names)
	return names
}

// adoptSummary records a stored summary. Of this node's own zone, while it
// acts, only version, holder and beat are taken.
func (s *state) adoptSummary(stored storedSummary, now time.Time) {
	name := stored.summary.GetAvailabilityZone()
	z := s.zone(name)
	if stored.version != z.version {
		z.version = stored.version
		z.risen = now
		z.rises++
	}
	z.holder = stored.summary.GetReporter()
	z.beat = stored.summary.GetBeat()
	if s.acting && name == s.ownZone() {
		return
	}
	summary := proto.CloneOf(stored.summary)
	summary.Lost = z.summary.GetLost()
	summary.Digest = reportDigest(z.report)
	z.summary = summary
}

// judgeZones marks the zones as lost whose reporters have not written for
// long. Only reads that succeeded lead here, so that an outage of the object
// API loses no zone.
func (m *Manager) judgeZones(now time.Time) {
	s := m.state
	var silent []string
	for _, name := range s.zoneNames() {
		z := s.zones[name]
		late := name != s.ownZone() && now.Sub(z.risen) >= m.lostAfter()
		if !late {
			z.setLost(false)
		}
		if late && !z.summary.GetLost() {
			silent = append(silent, name)
		}
	}
	holds := holds{few: m.timing.report, many: m.timing.suspect + m.timing.report}
	if !s.lostBurst.admit(silent, len(s.zones), holds, now) {
		return
	}
	m.logger.Warn().Str("event", "zones_lost").Strs("availability_zones", silent).Msg("")
	for _, name := range silent {
		s.zones[name].setLost(true)
	}
}

// setLost replaces the summary, since replies may still refer to the old one.
func (z *zone) setLost(lost bool) {
	if z.summary.GetLost() == lost {
		return
	}
	z.summary = proto.CloneOf(z.summary)
	z.summary.Lost = lost
}

// arbitrate decides, from the stored summary, whether this acting reporter
// writes, waits or yields. Another holder is alive if its summary changed
// again since this node began to act.
func (m *Manager) arbitrate(now time.Time) {
	z := m.state.zone(m.state.ownZone())
	mine := z.version == 0 || z.holder == m.state.self.GetNode()
	if !mine && z.rises > 1 {
		m.yield(z.holder, now)
		return
	}
	if mine || now.Sub(z.risen) >= m.takeoverWait() {
		m.refreshReport(now)
		m.writeOwn()
	}
}

// takeoverWait is how long a stored summary must stay unchanged before another
// node takes the zone over.
func (m *Manager) takeoverWait() time.Duration {
	return 2 * (m.timing.report + m.timing.heartbeat)
}

// adoptHolder follows the reporter that the object API names, if this node
// knows none; one that has stopped writing is replaced.
func (m *Manager) adoptHolder(now time.Time) {
	s := m.state
	z := s.zone(s.ownZone())
	if s.address(s.reporter) == "" {
		// It has left the report since it was named.
		s.reporter = ""
	}
	if z.holder == "" || z.holder == s.self.GetNode() {
		return
	}
	if !s.attached && now.Sub(z.risen) >= m.takeoverWait() && s.mayAct(now) {
		m.beginActing(now)
		return
	}
	if _, avoided := s.avoided[z.holder]; !avoided && s.reporter == "" {
		m.setReporter(z.holder)
		m.sendHeartbeat(now)
	}
}
