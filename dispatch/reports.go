package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	maxReportAttempts = 6
	reportTimeout     = 2 * time.Second
	releaseTimeout    = time.Second
	// reportQueueSize is the maximum number of queued reports of one claim.
	reportQueueSize = maxPermits + 2
)

// claim is a ledger entry held by a run on this node. One goroutine sends its
// reports in order, so that they do not delay tokens.
type claim struct {
	dispatcher *Dispatcher
	requestID  string
	team       string
	attempt    string
	reports    chan claimReport

	mu sync.Mutex
	// runningReport is the latest report that the request is running. It is nil
	// before the request is dispatched and after it ends.
	runningReport *schema.FinishRequest
}

// claimReport is a report and a channel that is closed once the report was sent
// or abandoned.
type claimReport struct {
	request *schema.FinishRequest
	done    chan struct{}
}

// claimSet is the set of ledger entries held by runs on this node.
type claimSet struct {
	mu     sync.Mutex
	active map[*claim]struct{}
}

func (s *claimSet) add(c *claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[c] = struct{}{}
}

func (s *claimSet) remove(c *claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, c)
}

func (s *claimSet) list() []*claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*claim, 0, len(s.active))
	for c := range s.active {
		list = append(list, c)
	}
	return list
}

// ResendClaimReports reports to the ledger again those requests that are
// running, or have ended recently, for which moved returns true. It is called
// when ledger shards have changed owners: the new owner has the stored claims,
// but does not know where their requests run or how they ended. It does not
// wait for the reports.
func (d *Dispatcher) ResendClaimReports(moved func(team, requestID string) bool) {
	for _, c := range d.claims.list() {
		if moved(c.team, c.requestID) {
			c.resendRunning()
		}
	}
	d.resendFinished(d.finished.matching(time.Now(), moved))
}

func (d *Dispatcher) newClaim(r *Request, attempt string) *claim {
	c := &claim{
		dispatcher: d,
		requestID:  r.ID,
		team:       r.Team,
		attempt:    attempt,
		reports:    make(chan claimReport, reportQueueSize),
	}
	d.claims.add(c)
	d.background.Go(c.sendReports)
	return c
}

func (c *claim) sendReports() {
	for report := range c.reports {
		c.dispatcher.sendReport(report.request)
		close(report.done)
	}
}

// sendReport sends a report with a bounded number of attempts. If all fail, the
// claim stays in the running state until the ledger finds that its entry node is
// gone. The outcome is then unknown.
func (d *Dispatcher) sendReport(report *schema.FinishRequest) {
	retryBackoff := backoff.NewExponentialBackOff()
	for range maxReportAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		err := d.options.Claims.Finish(ctx, report)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(retryBackoff.NextBackOff())
	}
}

func (c *claim) newReport(state schema.ClaimState) *schema.FinishRequest {
	return &schema.FinishRequest{
		RequestId: c.requestID,
		EntryNode: c.dispatcher.options.Node,
		Team:      c.team,
		Attempt:   c.attempt,
		State:     state,
	}
}

// reportRunning reports that the request runs at a target.
func (c *claim) reportRunning(permit *schema.Permit, streamID string) {
	report := c.newReport(schema.ClaimState_CLAIM_STATE_RUNNING)
	report.Target = permit.GetTarget()
	report.Address = permit.GetAddress()
	report.StreamId = streamID
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runningReport = report
	c.enqueueLocked(report)
}

// resendRunning reports again that the request is running. It does nothing while
// earlier reports are queued, since they go to the current owner anyway.
func (c *claim) resendRunning() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runningReport != nil && len(c.reports) == 0 {
		c.enqueueLocked(c.runningReport)
	}
}

// enqueueLocked queues a report for sending. It does not block, because the queue
// is large enough for the few reports of a claim.
func (c *claim) enqueueLocked(request *schema.FinishRequest) <-chan struct{} {
	done := make(chan struct{})
	c.reports <- claimReport{request, done}
	return done
}

// reportEnd reports the end of the request. If nothing of the request was sent,
// it waits up to releaseTimeout for the release of the claim before the caller
// gets its response, so that the caller can send the request again.
func (c *claim) reportEnd(dispatched bool, outcome *schema.StoredOutcome) {
	done := c.enqueueEnd(dispatched, outcome)
	if dispatched {
		return
	}
	timer := time.NewTimer(releaseTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// enqueueEnd queues the final report.
func (c *claim) enqueueEnd(dispatched bool, outcome *schema.StoredOutcome) <-chan struct{} {
	c.dispatcher.claims.remove(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(c.reports)
	report := c.newReport(schema.ClaimState_CLAIM_STATE_DONE)
	if c.runningReport != nil {
		report.Target = c.runningReport.GetTarget()
		report.Address = c.runningReport.GetAddress()
		report.StreamId = c.runningReport.GetStreamId()
	}
	c.runningReport = nil
	if dispatched {
		report.Outcome = outcome
	} else {
		report.NotRun = true
	}
	c.dispatcher.finished.add(time.Now(), report)
	return c.enqueueLocked(report)
}
