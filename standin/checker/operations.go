package checker

import (
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/history"
	"github.com/primrosemoor/primrosemoor/standin/record"
)

const (
	// leavingLimit is the time after which a leaving target must not receive new
	// work.
	leavingLimit = 3 * time.Second
	// acceptedLimit is the time after which every node must use an accepted
	// revision.
	acceptedLimit = 9 * time.Second
)

// checkLeaving checks that no target starts a run later than leavingLimit after it
// was announced as leaving, by an operator or by the target itself.
func checkLeaving(r *run, v *verdict) {
	announced := slices.Clone(r.events)
	for _, line := range r.records {
		if line.Kind == record.KindLeaving {
			announced = append(announced, history.Line{
				Kind: history.KindLeaving, At: line.StartUnixNanos, Targets: []string{line.Target},
			})
		}
	}
	for _, e := range announced {
		if e.Kind != history.KindLeaving {
			continue
		}
		for _, target := range e.Targets {
			v.Judged++
			checkLeavingTarget(r, v, target, e.At+int64(leavingLimit), returnTime(r, target, e.At))
		}
	}
}

// returnTime returns the time at which the target may receive work again, or the
// maximum time if it did not return.
func returnTime(r *run, target string, after int64) int64 {
	for _, e := range r.events {
		if e.Kind == history.KindReturned && e.At > after && slices.Contains(e.Targets, target) {
			return e.At
		}
	}
	return int64(1<<63 - 1)
}

// checkLeavingTarget reports every run that the target started between two times.
func checkLeavingTarget(r *run, v *verdict, target string, from, to int64) {
	for _, line := range r.records {
		if line.Kind != record.KindStart || line.Target != target {
			continue
		}
		if line.StartUnixNanos > from && line.StartUnixNanos < to {
			late := time.Duration(line.StartUnixNanos - from + int64(leavingLimit))
			v.addViolation(line.RequestID, "started at %s %v after it was leaving", target, late.Round(time.Millisecond))
		}
	}
}

// checkStops checks that no planned stop caused the loss of an answer in flight,
// at the stopped node or at another node that depended on it. Attempts at other
// nodes count only if no process had a fault during the stop.
func checkStops(r *run, v *verdict) {
	for _, e := range r.events {
		if e.Kind != history.KindStop {
			continue
		}
		end := stopEnd(r, e)
		faultFree := !r.anyFaultDuring(e.At, end)
		for _, a := range r.attempts {
			if a.response == nil || a.neverSent() || a.sent > end || a.received < e.At || a.received > end {
				continue
			}
			entry := a.request.Entry
			if entry != e.Node && !faultFree || r.faultyDuring(entry, a.sent, a.received) || a.outcomeLostBefore(e.At) {
				continue
			}
			v.Judged++
			if lostToStop(a, e.At) {
				v.addViolation(a.request.ID, "%s at %s with problem %q and outcome %q during the planned stop of %s",
					a.response.Result, entry, a.response.Problem, a.response.Outcome, e.Node)
			}
		}
	}
}

// Problem types that a stopping node or its peers return to callers.
const (
	problemDraining      = "draining"
	problemUnreachable   = "unreachable"
	problemUnknownEffect = "unknown-effect"
)

// lostToStop reports whether the stop caused the loss of the answer: the
// connection broke, the outcome is unknown, or a request that was sent before
// the stop was refused because of it.
func lostToStop(a *attempt, stop int64) bool {
	switch a.response.Result {
	case history.ResultBroken:
		return true
	case history.ResultRefused:
		switch a.response.Problem {
		case problemDraining, problemUnreachable:
			return a.inFlightAt(stop) || a.response.Outcome == history.OutcomeUnknown
		}
		return a.response.Outcome == history.OutcomeUnknown
	default:
		return false
	}
}

// earlierRunProblems are the problem types that describe an earlier attempt of the
// same request; every later attempt receives them again.
var earlierRunProblems = []string{"target-failed", problemUnknownEffect, "already-finished", "in-progress"}

// outcomeLostBefore reports whether the outcome of the attempt's request was
// already lost before a time, so that the attempt's response is not the effect
// of a later event: an earlier attempt received the same problem and outcome, or
// it ended without an outcome and the ledger has none either.
func (a *attempt) outcomeLostBefore(at int64) bool {
	if !slices.Contains(earlierRunProblems, a.response.Problem) {
		return false
	}
	return slices.ContainsFunc(a.parent.attempts, func(b *attempt) bool {
		if b == a || b.response == nil || b.received >= at {
			return false
		}
		sameResponse := b.response.Problem == a.response.Problem && b.response.Outcome == a.response.Outcome
		unresolved := !b.reportedNotRun() && !b.neverSent()
		return sameResponse || unresolved && a.response.Problem == problemUnknownEffect
	})
}

// stopEnd returns the time at which the stop was complete, or the maximum time if
// it was not.
func stopEnd(r *run, stop history.Line) int64 {
	for _, e := range r.events {
		if e.Kind == history.KindStopped && e.Node == stop.Node && e.At > stop.At {
			return e.At
		}
	}
	return int64(1<<63 - 1)
}

// checkConfiguration checks that the revisions that callers observed at each node
// never decrease and are not older than the accepted revisions allow.
func checkConfiguration(r *run, v *verdict) {
	accepted := make([]history.Line, 0, len(r.events))
	last := make(map[string]uint64)
	for _, e := range r.events {
		switch e.Kind {
		case history.KindAccepted:
			accepted = append(accepted, e)
		case history.KindObserved:
			v.Judged++
			if e.Revision < last[e.Node] {
				v.addViolation(e.Node, "showed revision %d after %d", e.Revision, last[e.Node])
			}
			last[e.Node] = max(last[e.Node], e.Revision)
			if since, ok := r.faultFreeSince(e.Node, e.At); ok {
				checkObservedRevision(v, e, accepted, since)
			}
		}
	}
}

// checkObservedRevision reports a violation if a node that has been free of faults
// since a time shows a revision older than one accepted longer ago than
// acceptedLimit.
func checkObservedRevision(v *verdict, observed history.Line, accepted []history.Line, since int64) {
	for _, a := range accepted {
		if max(a.At, since)+int64(acceptedLimit) < observed.At && a.Revision > observed.Revision {
			late := time.Duration(observed.At - a.At).Round(time.Millisecond)
			v.addViolation(observed.Node, "showed revision %d %v after %d was accepted", observed.Revision, late, a.Revision)
			return
		}
	}
}
