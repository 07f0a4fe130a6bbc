package mesh

import (
	"time"

	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// reportInterval is the minimum time between two reports of one target's load from
	// one source on a link. The figures change many times a second; all of them would cost
	// more than they tell.
	reportInterval = 100 * time.Millisecond
	// maxReportAge is the age from which a report says nothing any more.
	maxReportAge = time.Second
)

// TargetReport is what a target last reported of its load to a source.
type TargetReport struct {
	// PacePercent is how long work takes there, in hundredths of the usual time; 0 if
	// unknown.
	PacePercent int
	// Extra counts the requests there beyond those that the nodes knew of.
	Extra int
	// At is the time of the report; zero if there is none.
	At time.Time
}

// keepReport returns a use with the report of an earlier one if it has none itself, as not
// each change of a use brings a report.
func (u TargetUse) keepReport(before TargetUse) TargetUse {
	if u.Report.At.IsZero() {
		u.Report = before.Report
	}
	return u
}

// withoutReport returns the part of a use whose changes are sent.
func (u TargetUse) withoutReport() TargetUse {
	u.Report = TargetReport{}
	return u
}

// latestReport returns the newer one of two reports.
func latestReport(a, b TargetReport) TargetReport {
	if b.At.After(a.At) {
		return b
	}
	return a
}

// reportKey identifies a target among what one source reports on a link.
type reportKey struct{ source, target string }

// sentReport is when a report was last sent, and the time of that report.
type sentReport struct{ sent, at time.Time }

// report adds a report to a message, unless one was sent shortly before, or it is the same
// one or too old.
func (e *encoder) report(m *schema.MeshTarget, key reportKey, r TargetReport, now time.Time) {
	last := e.reports[key]
	age := max(0, now.Sub(r.At))
	if age > maxReportAge || !r.At.After(last.at) || now.Sub(last.sent) < reportInterval {
		return
	}
	e.reports[key] = sentReport{now, r.At}
	m.PacePercent, m.ReportAgeMillis, m.ExtraRequests = uint32(r.PacePercent), uint32(age.Milliseconds()), uint32(r.Extra)
}

// decodeReport returns the report in a message; its time is zero if there is none.
func decodeReport(m *schema.MeshTarget, now time.Time) TargetReport {
	if m.GetPacePercent() == 0 && m.GetExtraRequests() == 0 {
		return TargetReport{}
	}
	age := time.Duration(m.GetReportAgeMillis()) * time.Millisecond
	return TargetReport{PacePercent: int(m.GetPacePercent()), Extra: int(m.GetExtraRequests()), At: now.Add(-age)}
}
