package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	finishTries    = 6
	finishTimeout  = 2 * time.Second
	releaseTimeout = time.Second
	inProgressWait = time.Second
)

// claim is a ledger entry that this run holds. Its reports are sent in order
// by one goroutine, so that they delay no token.
type claim struct {
	dispatcher *Dispatcher
	requestID  string
	team       string
	attempt    string
	target     string
	address    string
	streamID   string
	reports    chan claimReport
}

// serveClaimed asks the ledger first, and runs, attaches to, or replays the
// request.
func (d *Dispatcher) serveClaimed(ctx context.Context, w http.ResponseWriter, r *Request) (Result, error) {
	attempt := uuid.NewString()
	reply, err := d.options.Claims.Claim(ctx, &schema.ClaimRequest{
		RequestId:  r.ID,
		Team:       r.Team,
		Digest:     r.Digest,
		Idempotent: r.Idempotent,
		EntryNode:  d.options.Node,
		Attempt:    attempt,
	})
	if err != nil {
		return d.refuse(r, claimError(err))
	}
	d.options.Meter.CountClaim(reply.GetState())
	switch reply.GetState() {
	case schema.ClaimState_CLAIM_STATE_NEW:
		run := d.newRun(ctx, w, r, d.newClaim(r, attempt))
		err := run.execute()
		return run.finish(err)
	case schema.ClaimState_CLAIM_STATE_RUNNING:
		return d.attach(ctx, w, r, reply)
	case schema.ClaimState_CLAIM_STATE_DONE:
		return d.replay(w, r, reply.GetOutcome())
	default:
		return d.recover(ctx, w, r, reply)
	}
}

// recover reads the stream of a request whose entry is gone, if the ledger
// knows it: the engine may still run it or keep its answer.
func (d *Dispatcher) recover(ctx context.Context, w http.ResponseWriter, r *Request, reply *schema.ClaimReply) (Result, error) {
	if hasStream(reply) {
		return d.attach(ctx, w, r, reply)
	}
	return d.refuse(r, fault.New(schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT,
		"the entry that ran this key is gone, the request may have run",
		"check the request's effect; use a new key only if it did not run").Unknown())
}

// claimError states the outcome of a request whose claim was not answered.
// This send was not dispatched, but an earlier send of the key may have run
// and the ledger could not tell, so the outcome is unknown unless the error
// meets every send of this request.
func claimError(err error) error {
	e := *fault.From(err)
	switch e.Kind {
	case schema.ErrorKind_ERROR_KIND_BAD_REQUEST, schema.ErrorKind_ERROR_KIND_KEY_REUSED:
		return e.NotRun()
	default:
		return e.Unknown()
	}
}

func (d *Dispatcher) refuse(r *Request, err error) (Result, error) {
	return Result{Source: SourceStored, Total: time.Since(r.Arrived), PromptTokens: r.PromptTokens}, err
}

// replay sends a stored outcome.
func (d *Dispatcher) replay(w http.ResponseWriter, r *Request, outcome *schema.StoredOutcome) (Result, error) {
	if outcome.GetStatus() == 0 {
		return d.refuse(r, fault.New(schema.ErrorKind_ERROR_KIND_ALREADY_FINISHED,
			"the request ran to its end, and its answer is not kept",
			"look at the request's effect; use a new key for a new request").Unknown())
	}
	answer := newResponder(w, false, 0)
	answer.start(int(outcome.GetStatus()), http.Header{
		"Content-Type":       {outcome.GetContentType()},
		HeaderIdempotencyKey: {r.ID},
		HeaderReplayed:       {"true"},
	})
	answer.write(outcome.GetBody())
	result := Result{
		Source:     SourceStored,
		Status:     answer.status,
		Delivered:  !answer.gone,
		CallerGone: answer.gone,
		Total:      time.Since(r.Arrived),
	}
	return result, nil
}

func (d *Dispatcher) newClaim(r *Request, attempt string) *claim {
	c := &claim{
		dispatcher: d,
		requestID:  r.ID,
		team:       r.Team,
		attempt:    attempt,
		reports:    make(chan claimReport, maxPermits+1),
	}
	d.background.Go(c.sendReports)
	return c
}

// claimReport is a report and the channel closed once it was sent or given up.
type claimReport struct {
	request *schema.FinishRequest
	sent    chan struct{}
}

func (c *claim) sendReports() {
	for report := range c.reports {
		c.sendReport(report.request)
		close(report.sent)
	}
}

// enqueue hands a report to the sender. Reports are few, so it never waits.
func (c *claim) enqueue(request *schema.FinishRequest) <-chan struct{} {
	sent := make(chan struct{})
	c.reports <- claimReport{request, sent}
	return sent
}

// sendReport tries for a bounded time. A lost report leaves the claim running
// until the ledger finds its entry gone, after which the outcome is unknown.
func (c *claim) sendReport(report *schema.FinishRequest) {
	pause := backoff.NewExponentialBackOff()
	for range finishTries {
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		err := c.dispatcher.options.Claims.Finish(ctx, report)
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
		Target:    c.target,
		Address:   c.address,
		StreamId:  c.streamID,
	}
}

// dispatched reports that the request runs at a target.
func (c *claim) dispatched(permit *schema.Permit, streamID string) {
	c.target = permit.GetTarget()
	c.address = permit.GetAddress()
	c.streamID = streamID
	c.enqueue(c.report(schema.ClaimState_CLAIM_STATE_RUNNING))
}

// settle reports the end. A request of which nothing was sent releases its
// claim before its caller is told, so that the caller may send it again.
func (c *claim) settle(dispatched bool, outcome *schema.StoredOutcome) {
	defer close(c.reports)
	report := c.report(schema.ClaimState_CLAIM_STATE_DONE)
	if dispatched {
		report.Outcome = outcome
		c.enqueue(report)
		return
	}
	report.NotRun = true
	timer := time.NewTimer(releaseTimeout)
	defer timer.Stop()
	select {
	case <-c.enqueue(report):
	case <-timer.C:
	}
}
