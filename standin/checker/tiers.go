package checker

import (
	"time"

	"github.com/primrosemoor/primrosemoor/standin/history"
)

// handoverTime bounds the time between a decision and its effect at a caller
// or a target: two crossings between regions and a margin for scheduling.
const handoverTime = 100 * time.Millisecond

// Problems by which a request is shed.
const (
	problemOverloaded = "overloaded"
	problemDeadline   = "deadline"
)

// isShed reports whether the system ended the wait. A wait that lasted until
// the deadline that the caller stated was ended by the caller.
func isShed(a *attempt) bool {
	if !a.toldNotRun() {
		return false
	}
	switch a.response.Problem {
	case problemOverloaded:
		return true
	case problemDeadline:
		return !waitedToDeadline(a)
	default:
		return false
	}
}

func waitedToDeadline(a *attempt) bool {
	allowed := time.Duration(a.request.DeadlineMillis) * time.Millisecond
	return allowed > 0 && time.Duration(a.received-a.sent) >= allowed
}

// judgeTierOrder looks for a lower-tier request of the same service that was
// waiting when a request was shed and was dispatched afterwards.
func judgeTierOrder(r *run, v *verdict) {
	for _, a := range r.attempts {
		if !isShed(a) {
			continue
		}
		v.Judged++
		earliest := shedTime(r, a)
		for _, q := range r.requests {
			if low := r.overtakes(q, a, earliest); low != nil {
				v.breaks(a.request.ID, "shed with rank %d while %s of rank %d waited and ran later",
					a.request.Rank, q.id, low.Rank)
				break
			}
		}
	}
}

// shedTime returns the earliest time at which the request may have been shed.
func shedTime(r *run, a *attempt) int64 {
	if r.disturbed(a.request.Entry, a.sent, a.received) {
		return a.sent
	}
	return max(a.sent, a.received-int64(handoverTime))
}

// overtakes returns the request if it waited at the time that the attempt was
// shed, ranks lower, and started later. A request sent to a frozen entry has not
// arrived, so it does not wait yet.
func (r *run) overtakes(q *request, shed *attempt, earliest int64) *history.Request {
	low := q.first()
	if low.Service != shed.request.Service || low.Rank <= shed.request.Rank || len(q.starts) == 0 {
		return nil
	}
	waited := q.attempts[0].sent+int64(handoverTime) <= earliest
	later := q.starts[0].StartUnixNanos > shed.received+int64(handoverTime)
	if !waited || !later || len(q.attempts) > 1 {
		return nil
	}
	sent := q.attempts[0].sent
	if r.frozen(low.Entry, sent, sent+int64(handoverTime)) {
		return nil
	}
	return &low
}
