package mesh

import (
	"fmt"
	"time"

	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/rollout"
	"github.com/primrosemoor/primrosemoor/schema"
)

// rolloutInterval is the time between two reports of the rollouts on a link while no phase
// changes. It is shorter than heartbeatInterval, so that each heartbeat has one.
const rolloutInterval = 200 * time.Millisecond

// RolloutRelay holds what this node knows of the rollouts. The nodes of a small zone, and the
// hubs of a large one, tell each other the outcomes at their nodes and those of the other
// zones. Members tell hubs theirs and get sums, and other zones get the sums of the zone.
type RolloutRelay interface {
	// Version returns a number that changes with the phases.
	Version() uint64
	// Reports returns what to tell a receiver; ok is false if this node does not know the
	// rollouts.
	Reports(to rollout.Receiver) (reports rollout.Reports, ok bool)
	// Apply applies what a process of a zone has told.
	Apply(process, zone string, reports rollout.Reports)
}

// RolloutsChanged makes the links send the phases of the rollouts.
func (m *Manager) RolloutsChanged() { m.changed.broadcast() }

// ProcessName names a process in the sums of rollouts and in the store.
func ProcessName(id peer.Identity) string { return fmt.Sprintf("%s/%d", id.Node, id.Incarnation) }

// addRollouts adds the rollouts to an update if a phase has changed or the last report is
// old, and reports whether it did.
func (l *link) addRollouts(u *schema.MeshUpdate, toMember bool) bool {
	relay := l.manager.options.RolloutRelay
	if relay == nil {
		return false
	}
	version := relay.Version()
	if version == l.sentRollouts && time.Since(l.rolloutsAt) < rolloutInterval {
		return false
	}
	to := rollout.ToNode
	switch {
	case !l.sameZone():
		to = rollout.ToZone
	case toMember:
		to = rollout.ToMember
	case l.fromMember():
		to = rollout.ToHub
	}
	reports, ok := relay.Reports(to)
	if !ok {
		return false
	}
	l.sentRollouts, l.rolloutsAt = version, time.Now()
	age := micros(reports.Age)
	u.RolloutsAgeMicros = &age
	for _, r := range reports.List {
		u.Rollouts = append(u.Rollouts, encodeRollout(r))
	}
	return true
}

// fromMember reports whether this node reports to hubs only.
func (l *link) fromMember() bool {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	return l.manager.member
}

// applyRollouts applies the rollouts in an update.
func (m *Manager) applyRollouts(from peer.Identity, u *schema.MeshUpdate) {
	if m.options.RolloutRelay == nil || u.RolloutsAgeMicros == nil {
		return
	}
	reports := rollout.Reports{Age: boundedMicros(u.GetRolloutsAgeMicros())}
	for _, r := range u.GetRollouts() {
		reports.List = append(reports.List, decodeRollout(r))
	}
	m.options.RolloutRelay.Apply(ProcessName(from), from.AvailabilityZone, reports)
}

func encodeRollout(r rollout.Report) *schema.MeshRollout {
	m := &schema.MeshRollout{
		Service: r.Service, Target: r.Target, Phase: schema.RolloutPhase(r.Phase), Revision: r.Revision, Bad: r.Bad,
		DurationMillis: uint64(r.Duration.Milliseconds()), ElapsedMillis: uint64(max(0, r.Elapsed.Milliseconds())), AgeMicros: micros(r.Age),
	}
	for zone, tally := range r.Sums {
		sums := &schema.MeshRolloutSums{Zone: zone}
		for series, c := range tally {
			o := &schema.MeshRolloutOutcome{Route: series.Route, Responses: c.Responses, Failures: c.Failures, Slow: c.Slow,
				FirstCount: c.First.Count, FirstLogMillis: c.First.LogMillis, GapCount: c.Gaps.Count, GapLogMillis: c.Gaps.LogMillis}
			if series.New {
				o.Version = r.Target
			}
			sums.Outcomes = append(sums.Outcomes, o)
		}
		m.Sums = append(m.Sums, sums)
	}
	return m
}

func decodeRollout(m *schema.MeshRollout) rollout.Report {
	r := rollout.Report{
		Order: rollout.Order{
			Service: m.GetService(), Target: m.GetTarget(), Duration: boundedMillis(m.GetDurationMillis()), Revision: m.GetRevision(),
		},
		Phase: rollout.Phase(m.GetPhase()), Elapsed: boundedMillis(m.GetElapsedMillis()), Bad: m.GetBad(),
		Age: boundedMicros(m.GetAgeMicros()), Sums: make(map[string]rollout.Tally),
	}
	for _, sums := range m.GetSums() {
		tally := make(rollout.Tally)
		for _, o := range sums.GetOutcomes() {
			tally[rollout.Series{Route: o.GetRoute(), New: o.GetVersion() == m.GetTarget()}] = rollout.Counts{
				Responses: o.GetResponses(), Failures: o.GetFailures(), Slow: o.GetSlow(),
				First: rollout.Times{Count: o.GetFirstCount(), LogMillis: o.GetFirstLogMillis()},
				Gaps:  rollout.Times{Count: o.GetGapCount(), LogMillis: o.GetGapLogMillis()},
			}
		}
		r.Sums[sums.GetZone()] = tally
	}
	return r
}

// boundedMicros and boundedMillis return times that other nodes state, maxAge at most.
func boundedMicros(n uint64) time.Duration {
	return time.Duration(min(n, micros(maxAge))) * time.Microsecond
}

func boundedMillis(n uint64) time.Duration {
	return time.Duration(min(n, uint64(maxAge/time.Millisecond))) * time.Millisecond
}
