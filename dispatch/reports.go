package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	finishTries    = 6
	finishTimeout  = 2 * time.Second
	releaseTimeout = time.Second
	// maxReports bounds the reports of one claim that wait to be sent.
	maxReports = maxPermits + 2
)

// claim is a ledger entry that a run of this entry holds. Its reports are sent
// in order by one goroutine, so that they delay no token.
type claim struct {
	dispatcher *Dispatcher
	requestID  string
	team       string
	attempt    string
	reports    chan claimReport

	mu sync.Mutex
	// running is the latest report that the request runs; nil before it was
	// dispatched and after its end.
	running *schema.FinishRequest
}

// claimReport is a report and the channel closed once it was sent or given up.
type claimReport struct {
	request *schema.FinishRequest
	sent    chan struct{}
}

// claims are the ledger entries that this entry's runs hold.
type claims struct {
	mu   sync.Mutex
	held map[*claim]struct{}
}

func (s *claims) add(c *claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[c] = struct{}{}
}

func (s *claims) remove(c *claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, c)
}

func (s *claims) list() []*claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*claim, 0, len(s.held))
	for c := range s.held {
		list = append(list, c)
	}
	return list
}

// RepeatReports tells the ledger again of the requests that run, or have ended
// lately, for which moved returns true. It is called when ledger shards have
// changed owners: the new owner knows the stored claims, but neither where
// their requests run nor how they ended. It does not wait for the reports.
func (d *Dispatcher) RepeatReports(moved func(team, requestID string) bool) {
	for _, c := range d.claims.list() {
		if moved(c.team, c.requestID) {
			c.repeat()
		}
	}
	d.repeatEnded(d.ended.matching(time.Now(), moved))
}

func (d *Dispatcher) newClaim(r *Request, attempt string) *claim {
	c := &claim{
		dispatcher: d,
		requestID:  r.ID,
		team:       r.Team,
		attempt:    attempt,
		reports:    make(chan claimReport, maxReports),
	}
	d.claims.add(c)
	d.background.Go(c.sendReports)
	return c
}

func (c *claim) sendReports() {
	for report := range c.reports {
		c.dispatcher.sendReport(report.request)
		close(report.sent)
	}
}

// sendReport tries for a bounded time. A lost report leaves the claim running
// until the ledger finds its entry gone, after which the outcome is unknown.
func (d *Dispatcher) sendReport(report *schema.FinishRequest) {
	pause := backoff.NewExponentialBackOff()
	for range finishTries {
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		err := d.options.Claims.Finish(ctx, report)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(pause.NextBackOff())
	}
}

func (c *claim) report(state schema.ClaimState) *schema.FinishRequest {
	return &schema.FinishRequest{
		RequestId: c.requestID,
		EntryNode: c.dispatcher.options.Node,
		Team:      c.team,
		Attempt:   c.attempt,
		State:     state,
	}
}

// dispatched reports that the request runs at a target.
func (c *claim) dispatched(permit *schema.Permit, streamID string) {
	report := c.report(schema.ClaimState_CLAIM_STATE_RUNNING)
	report.Target = permit.GetTarget()
	report.Address = permit.GetAddress()
	report.StreamId = streamID
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = report
	c.enqueueLocked(report)
}

// repeat reports again that the request runs. While earlier reports wait it
// need not: they will go to the present owner.
func (c *claim) repeat() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running != nil && len(c.reports) == 0 {
		c.enqueueLocked(c.running)
	}
}

// enqueueLocked hands a report to the sender. Reports are few, so it does not
// wait.
func (c *claim) enqueueLocked(request *schema.FinishRequest) <-chan struct{} {
	sent := make(chan struct{})
	c.reports <- claimReport{request, sent}
	return sent
}

// settle reports the end. A request of which nothing was sent releases its
// claim before its caller is told, so that the caller may send it again.
func (c *claim) settle(dispatched bool, outcome *schema.StoredOutcome) {
	sent := c.end(dispatched, outcome)
	if dispatched {
		return
	}
	timer := time.NewTimer(releaseTimeout)
	defer timer.Stop()
	select {
	case <-sent:
	case <-timer.C:
	}
}

// end enqueues the last report.
func (c *claim) end(dispatched bool, outcome *schema.StoredOutcome) <-chan struct{} {
	c.dispatcher.claims.remove(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(c.reports)
	report := c.report(schema.ClaimState_CLAIM_STATE_DONE)
	if c.running != nil {
		report.Target = c.running.GetTarget()
		report.Address = c.running.GetAddress()
		report.StreamId = c.running.GetStreamId()
	}
	c.running = nil
	if dispatched {
		report.Outcome = outcome
	} else {
		report.NotRun = true
	}
	c.dispatcher.ended.add(time.Now(), report)
	return c.enqueueLocked(report)
}
