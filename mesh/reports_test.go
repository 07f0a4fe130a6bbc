package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/schema"
)

// The figures change many times a second: a message for each would cost more than all
// others between nodes.
func TestReportsOfTargetsAreSentOnlyWithOtherChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, e, d := newSums(), newEncoder(), newDecoder()
		sent := uint64(0)
		// send returns the report that the receiver of the next update holds; ok is false if
		// nothing is sent.
		received := newReport()
		send := func() (r TargetReport, ok bool) {
			c := s.since(sent)
			sent = c.version
			u := e.use("", c)
			if u == nil {
				return r, false
			}
			received.merge(d.use(u))
			return received.targets["i-1"].Report, true
		}
		report := func(percent int) TargetReport { return TargetReport{PacePercent: percent, Extra: 2, At: time.Now()} }
		first := report(250)
		s.setTarget("i-1", TargetUse{Requests: 1, Report: first})
		time.Sleep(30 * time.Millisecond)
		got, ok := send()
		is.True(ok)
		is.Equal(got, first) // with its age
		s.setTarget("i-1", TargetUse{Requests: 1, Report: report(130)})
		_, ok = send()
		is.True(!ok) // Nothing else has changed.
		s.setTarget("i-1", TargetUse{Requests: 2})
		got, ok = send()
		is.True(ok)
		is.Equal(got, first) // 100 ms have not passed.
		time.Sleep(reportInterval)
		latest := report(90)
		s.setTarget("i-1", TargetUse{Requests: 2, Report: latest})
		s.setTarget("i-1", TargetUse{Requests: 3}) // A change without a report does not lose it.
		got, _ = send()
		is.Equal(got, latest)
		time.Sleep(reportInterval)
		s.setTarget("i-1", TargetUse{Requests: 4})
		is.Equal(e.use("", s.since(sent)).GetTargets()[0].GetPacePercent(), uint32(0)) // It was sent before.
	})
}

func TestZoneTellsTheLatestReportOfItsNodes(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	older := TargetReport{PacePercent: 300, At: now}
	newer := TargetReport{PacePercent: 80, At: now.Add(time.Millisecond)}
	is.Equal(latestReport(older, newer), newer)
	is.Equal(latestReport(newer, older), newer)
	is.Equal(latestReport(older, TargetReport{}), older)
}

func TestMemoryInUseSurvivesTheWire(t *testing.T) {
	is := is.New(t)
	s := newSums()
	s.setTarget("i-1", TargetUse{Requests: 1, MemoryTokens: 7000})
	is.Equal(newDecoder().use(newEncoder().use("", s.since(0))).targets["i-1"], TargetUse{Requests: 1, MemoryTokens: 7000})
}

func TestBuildsWithoutReportsReportNone(t *testing.T) {
	is := is.New(t)
	use := newDecoder().use(&schema.MeshUse{Targets: []*schema.MeshTarget{{Ref: 1, Id: "i-1", Requests: 3}}}).targets["i-1"]
	is.Equal(use, TargetUse{Requests: 3})
}
