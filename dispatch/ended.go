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

func (f *finishedReports) add(now time.Time, request *schema.FinishRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(f.reports, finishedReport{request, now})
	f.bytes += len(request.GetOutcome().GetBody())
	f.evictLocked(now)
}

// evictLocked drops the oldest reports that exceed a limit.
func (f *finishedReports) evictLocked(now time.Time) {
	n := 0
	for n < len(f.reports) {
		oldest := f.reports[n]
		if len(f.reports)-n <= maxRetainedReports && f.bytes <= maxRetainedBytes && now.Sub(oldest.at) <= reportRetention {
			break
		}
		f.bytes -= len(oldest.request.GetOutcome().GetBody())
		n++
	}
	clear(f.reports[:n])
	f.reports = f.reports[n:]
}

// matching returns the retained reports for which moved returns true.
func (f *finishedReports) matching(now time.Time, moved func(team, requestID string) bool) []*schema.FinishRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evictLocked(now)
	var requests []*schema.FinishRequest
	for _, r := range f.reports {
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
