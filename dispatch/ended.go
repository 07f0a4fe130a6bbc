package dispatch

import (
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// reportRetention is how long the final report of a claimed request is kept
	// so that it can be resent to a shard's next owner. It covers the time until
	// an owner that died is replaced.
	reportRetention = 30 * time.Second
	// Limits on the retained reports: their number, and the total size of their
	// response bodies in bytes.
	maxRetainedReports = 10_000
	maxRetainedBytes   = 16 << 20
	// maxConcurrentResends limits the reports that are resent concurrently.
	maxConcurrentResends = 16
)

// finishedReport is the final report of a claim.
type finishedReport struct {
	request *schema.FinishRequest
	at      time.Time
}

// finishedReports retains the latest final reports of claimed requests.
type finishedReports struct {
	mu sync.Mutex
	// reports are in chronological order.
	reports []finishedReport
	bytes   int
}

func (e *finishedReports) add(now time.Time, request *schema.FinishRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports = append(e.reports, finishedReport{request, now})
	e.bytes += len(request.GetOutcome().GetBody())
	e.evictLocked(now)
}

// evictLocked drops the oldest reports that exceed a limit.
func (e *finishedReports) evictLocked(now time.Time) {
	n := 0
	for n < len(e.reports) {
		oldest := e.reports[n]
		if len(e.reports)-n <= maxRetainedReports && e.bytes <= maxRetainedBytes && now.Sub(oldest.at) <= reportRetention {
			break
		}
		e.bytes -= len(oldest.request.GetOutcome().GetBody())
		n++
	}
	clear(e.reports[:n])
	e.reports = e.reports[n:]
}

// matching returns the retained reports for which moved returns true.
func (e *finishedReports) matching(now time.Time, moved func(team, requestID string) bool) []*schema.FinishRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.evictLocked(now)
	var requests []*schema.FinishRequest
	for _, r := range e.reports {
		if moved(r.request.GetTeam(), r.request.GetRequestId()) {
			requests = append(requests, r.request)
		}
	}
	return requests
}

// resendFinished resends final reports with limited concurrency.
func (d *Dispatcher) resendFinished(requests []*schema.FinishRequest) {
	queue := make(chan *schema.FinishRequest, len(requests))
	for _, request := range requests {
		queue <- request
	}
	close(queue)
	for range min(maxConcurrentResends, len(requests)) {
		d.background.Go(func() {
			for request := range queue {
				d.sendReport(request)
			}
		})
	}
}
