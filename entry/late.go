package entry

import "time"

const (
	// lateThreshold is the delay from which a process counts as late: it gets less of the
	// processor than it needs, or stood still.
	lateThreshold = 100 * time.Millisecond
	// lateReportInterval is the least time between two reports.
	lateReportInterval = time.Second
)

// lateness measures how late this process does what is due at intervals.
type lateness struct {
	interval time.Duration
	// checked and reportedAt are when observe was last called, and last said to report.
	checked, reportedAt time.Time
	// longest is the longest delay since the last report.
	longest time.Duration
}

// observe is called at each interval. It returns the longest delay since the last report, and
// whether to report it now.
func (l *lateness) observe(now time.Time) (delay time.Duration, report bool) {
	l.longest = max(l.longest, now.Sub(l.checked)-l.interval)
	l.checked = now
	if l.longest < lateThreshold || now.Sub(l.reportedAt) < lateReportInterval {
		return 0, false
	}
	delay, l.longest, l.reportedAt = l.longest, 0, now
	return delay, true
}
