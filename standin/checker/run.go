package checker

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/primrosemoor/primrosemoor/standin/history"
	"github.com/primrosemoor/primrosemoor/standin/record"
)

// attempt is one send of a request by its caller.
type attempt struct {
	request  history.Request
	of       *request
	sent     int64
	received int64
	// response is nil when the run ended before the attempt did.
	response *history.Response
}

func (a *attempt) toldNotRun() bool {
	return a.response != nil && a.response.Outcome == history.OutcomeNotRun
}

// neverSent reports whether no byte of the attempt left its caller.
func (a *attempt) neverSent() bool {
	return a.response != nil && a.response.Result == history.ResultUnreachable
}

// openAt reports whether the attempt was waiting for its answer at a time.
func (a *attempt) openAt(at int64) bool {
	return a.sent < at && (a.response == nil || a.received > at)
}

// request is all attempts and runs under one id.
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

func (q *request) allNotRun() bool {
	return !slices.ContainsFunc(q.attempts, func(a *attempt) bool {
		return !a.toldNotRun() && !a.neverSent()
	})
}

// run is the history in the order that the judges read it.
type run struct {
	attempts []*attempt
	requests []*request
	// events are the lines that are not attempts, in order of time.
	events  []history.Line
	records []record.Line
}

func newRun(lines []history.Line, records []record.Line) *run {
	r := &run{records: records}
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b history.Line) int { return cmp.Compare(a.At, b.At) })
	r.readLines(lines)
	byID := make(map[string]*request)
	for i, a := range r.attempts {
		id := a.identify(i)
		q, ok := byID[id]
		if !ok {
			q = &request{id: id}
			byID[id] = q
			r.requests = append(r.requests, q)
		}
		q.attempts = append(q.attempts, a)
		a.of = q
	}
	for _, line := range records {
		if q, ok := byID[line.RequestID]; ok && line.Kind == record.KindStart {
			q.starts = append(q.starts, line)
		}
	}
	return r
}

// readLines joins the ends of each attempt.
func (r *run) readLines(lines []history.Line) {
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

// identify returns the request's id: the caller's, or that of the answer, or
// one of its own for an attempt that never learned it.
func (a *attempt) identify(index int) string {
	if a.request.ID == "" && a.response != nil {
		a.request.ID = a.response.RequestID
	}
	if a.request.ID == "" {
		return fmt.Sprintf("attempt %d", index)
	}
	return a.request.ID
}

// disturbed reports whether a fault was brought about at the node between two
// times, or was in force at the first.
func (r *run) disturbed(node string, from, to int64) bool {
	inForce := make(map[history.Fault]bool)
	for _, e := range r.events {
		if e.Kind != history.KindFault || e.Node != node || e.At > to {
			continue
		}
		if e.At >= from {
			return true
		}
		note(inForce, e.Fault)
	}
	return len(inForce) > 0
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

// note adds a fault to those in force, or removes the one that it ends.
func note(inForce map[history.Fault]bool, f history.Fault) {
	if ended, ok := f.Ends(); ok {
		delete(inForce, ended)
		return
	}
	inForce[f] = true
}

// disturbedAnywhere reports whether a fault was brought about at any process
// between two times, or was in force at the first.
func (r *run) disturbedAnywhere(from, to int64) bool {
	names := make(map[string]bool)
	for _, e := range r.events {
		if e.Kind == history.KindFault {
			names[e.Node] = true
		}
	}
	for name := range names {
		if r.disturbed(name, from, to) {
			return true
		}
	}
	return false
}

// connectedSince returns the end of the node's last failure before a time; it
// reports false if a failure was in force.
func (r *run) connectedSince(node string, at int64) (int64, bool) {
	var since int64
	inForce := make(map[history.Fault]bool)
	for _, e := range r.events {
		if e.Kind != history.KindFault || e.Node != node || e.At > at {
			continue
		}
		note(inForce, e.Fault)
		since = e.At
	}
	return since, len(inForce) == 0
}
