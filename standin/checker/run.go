package checker

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/primrosemoor/primrosemoor/standin/history"
	"github.com/primrosemoor/primrosemoor/standin/record"
)

// attempt is one transmission of a request by its caller.
type attempt struct {
	request  history.Request
	parent   *request
	sent     int64
	received int64
	// response is nil if the attempt had not ended when the run ended.
	response *history.Response
}

// reportedNotRun reports whether the response states that the request did not run.
func (a *attempt) reportedNotRun() bool {
	return a.response != nil && a.response.Outcome == history.OutcomeNotRun
}

// neverSent reports whether the attempt was never sent, because the connection
// could not be made.
func (a *attempt) neverSent() bool {
	return a.response != nil && a.response.Result == history.ResultUnreachable
}

// inFlightAt reports whether the attempt was waiting for its response at a time.
func (a *attempt) inFlightAt(at int64) bool {
	return a.sent < at && (a.response == nil || a.received > at)
}

// request groups all attempts and run starts with the same request id.
type request struct {
	id       string
	attempts []*attempt
	starts   []record.Line
}

func (q *request) first() history.Request {
	return q.attempts[0].request
}

func (q *request) answered() bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool {
		return a.response != nil && a.response.Result == history.ResultAnswer
	})
}

// allNotRun reports whether every attempt was either reported as not run or never
// sent.
func (q *request) allNotRun() bool {
	return !slices.ContainsFunc(q.attempts, func(a *attempt) bool {
		return !a.reportedNotRun() && !a.neverSent()
	})
}

// run is the history of a run, indexed for the checks.
type run struct {
	attempts []*attempt
	requests []*request
	// events holds the lines that do not belong to attempts, ordered by time.
	events  []history.Line
	records []record.Line
}

func newRun(lines []history.Line, records []record.Line) *run {
	r := &run{records: records}
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b history.Line) int { return cmp.Compare(a.At, b.At) })
	r.pairAttempts(lines)
	byID := make(map[string]*request)
	for i, a := range r.attempts {
		id := a.resolveID(i)
		q, ok := byID[id]
		if !ok {
			q = &request{id: id}
			byID[id] = q
			r.requests = append(r.requests, q)
		}
		q.attempts = append(q.attempts, a)
		a.parent = q
	}
	for _, line := range records {
		if q, ok := byID[line.RequestID]; ok && line.Kind == record.KindStart {
			q.starts = append(q.starts, line)
		}
	}
	return r
}

// pairAttempts joins the sent and received lines of each attempt.
func (r *run) pairAttempts(lines []history.Line) {
	byNumber := make(map[uint64]*attempt)
	for _, line := range lines {
		switch line.Kind {
		case history.KindSent:
			a := &attempt{request: *line.Request, sent: line.At}
			byNumber[line.Attempt] = a
			r.attempts = append(r.attempts, a)
		case history.KindReceived:
			if a, ok := byNumber[line.Attempt]; ok {
				a.response = line.Response
				a.received = line.At
			}
		default:
			r.events = append(r.events, line)
		}
	}
}

// resolveID returns the request's id: the one given by the caller, else the one in
// the response, else a unique placeholder.
func (a *attempt) resolveID(index int) string {
	if a.request.ID == "" && a.response != nil {
		a.request.ID = a.response.RequestID
	}
	if a.request.ID == "" {
		return fmt.Sprintf("attempt %d", index)
	}
	return a.request.ID
}

// faultyDuring reports whether a fault of the node began or ended between two
// times, or was active at the first.
func (r *run) faultyDuring(node string, from, to int64) bool {
	active := make(map[history.Fault]bool)
	for _, e := range r.events {
		if e.Kind != history.KindFault || e.Node != node || e.At > to {
			continue
		}
		if e.At >= from {
			return true
		}
		updateActive(active, e.Fault)
	}
	return len(active) > 0
}

// frozen reports whether the node was frozen at any moment between two times.
func (r *run) frozen(node string, from, to int64) bool {
	frozen := false
	for _, e := range r.events {
		if e.Kind != history.KindFault || e.Node != node || e.At > to {
			continue
		}
		if e.Fault == history.FaultThaw && e.At < from {
			frozen = false
		}
		if e.Fault == history.FaultFreeze {
			frozen = true
		}
	}
	return frozen
}

// updateActive adds a fault to the active ones, or removes the fault that it ends.
func updateActive(active map[history.Fault]bool, f history.Fault) {
	if ended, ok := f.Ends(); ok {
		delete(active, ended)
		return
	}
	active[f] = true
}

// anyFaultDuring reports whether a fault of any process began or ended between two
// times, or was active at the first.
func (r *run) anyFaultDuring(from, to int64) bool {
	names := make(map[string]bool)
	for _, e := range r.events {
		if e.Kind == history.KindFault {
			names[e.Node] = true
		}
	}
	for name := range names {
		if r.faultyDuring(name, from, to) {
			return true
		}
	}
	return false
}

// faultFreeSince returns the time at which the node's last fault before the given
// time ended. It reports false if a fault is active at that time.
func (r *run) faultFreeSince(node string, at int64) (int64, bool) {
	var since int64
	active := make(map[history.Fault]bool)
	for _, e := range r.events {
		if e.Kind != history.KindFault || e.Node != node || e.At > at {
			continue
		}
		updateActive(active, e.Fault)
		since = e.At
	}
	return since, len(active) == 0
}
