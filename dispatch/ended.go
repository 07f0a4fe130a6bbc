package dispatch

import (
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// repeatWindow is how long the end of a claimed request is remembered, so
	// that a shard's next owner can be told. It covers the time until an owner
	// that died is replaced.
	repeatWindow = 30 * time.Second
	// Bounds of the ends that are remembered.
	maxEndedReports = 10_000
	maxEndedBytes   = 16 << 20
	// maxRepeats bounds the reports that are repeated at once.
	maxRepeats = 16
)

// endedReport is the last report of a claim.
type endedReport struct {
	request *schema.FinishRequest
	at      time.Time
}

// endedReports remembers the latest ends of claimed requests.
type endedReports struct {
	mu sync.Mutex
	// reports are in order of time.
	reports []endedReport
	bytes   int
}

func (e *endedReports) add(now time.Time, request *schema.FinishRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports = append(e.reports, endedReport{request, now})
	e.bytes += len(request.GetOutcome().GetBody())
	e.forgetLocked(now)
}

// forgetLocked drops the oldest reports beyond the bounds.
func (e *endedReports) forgetLocked(now time.Time) {
	n := 0
	for n < len(e.reports) {
		oldest := e.reports[n]
		if len(e.reports)-n <= maxEndedReports && e.bytes <= maxEndedBytes && now.Sub(oldest.at) <= repeatWindow {
			break
		}
		e.bytes -= len(oldest.request.GetOutcome().GetBody())
		n++
	}
	clear(e.reports[:n])
	e.reports = e.reports[n:]
}

// matching returns the remembered reports for which moved returns true.
func (e *endedReports) matching(now time.Time, moved func(team, requestID string) bool) []*schema.FinishRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetLocked(now)
	var requests []*schema.FinishRequest
	for _, r := range e.reports {
		if moved(r.request.GetTeam(), r.request.GetRequestId()) {
			requests = append(requests, r.request)
		}
	}
	return requests
}

// repeatEnded reports again how requests ended, some at a time.
func (d *Dispatcher) repeatEnded(requests []*schema.FinishRequest) {
	queue := make(chan *schema.FinishRequest, len(requests))
	for _, request := range requests {
		queue <- request
	}
	close(queue)
	for range min(maxRepeats, len(requests)) {
		d.background.Go(func() {
			for request := range queue {
				d.sendReport(request)
			}
		})
	}
}
