package checker

import (
	"encoding/json"
	"strings"

	"github.com/primrosemoor/primrosemoor/standin/engine"
	"github.com/primrosemoor/primrosemoor/standin/history"
	"github.com/primrosemoor/primrosemoor/standin/service"
)

// checkDispatchedOnce checks that no request was started more than once.
func checkDispatchedOnce(r *run, v *verdict) {
	for _, q := range r.requests {
		v.Judged++
		if len(q.starts) > 1 {
			v.addViolation(q.id, "started %d times, at %s", len(q.starts), targetNames(q))
		}
	}
}

// checkNonIdempotent checks that no non-idempotent request to a plain service was
// started more than once.
func checkNonIdempotent(r *run, v *verdict) {
	for _, q := range r.requests {
		if q.first().Idempotent || q.first().Chat {
			continue
		}
		v.Judged++
		if len(q.starts) > 1 {
			v.addViolation(q.id, "%s ran %d times, at %s", q.first().Path, len(q.starts), targetNames(q))
		}
	}
}

// targetNames returns the targets that started the request, for a message.
func targetNames(q *request) string {
	var names []string
	for _, s := range q.starts {
		names = append(names, s.Target)
	}
	return strings.Join(names, ", ")
}

// checkNotRun checks each response with the outcome "not run" against the runs of
// the request. No run may have started before the attempt was sent, and a run that
// started later must be explained by another attempt of the caller.
func checkNotRun(r *run, v *verdict) {
	for _, q := range r.requests {
		for _, a := range q.attempts {
			if !a.reportedNotRun() {
				continue
			}
			v.Judged++
			for _, s := range q.starts {
				if s.StartUnixNanos < a.sent || !explainedByOtherAttempt(q, a, s.StartUnixNanos) {
					v.addViolation(q.id, "told not_run by %s, but %s started it", a.request.Entry, s.Target)
					break
				}
			}
		}
	}
}

// explainedByOtherAttempt reports whether another attempt, sent before the start
// and not itself reported as not run, can have caused the run.
func explainedByOtherAttempt(q *request, notRun *attempt, start int64) bool {
	for _, a := range q.attempts {
		if a != notRun && !a.reportedNotRun() && !a.neverSent() && a.sent <= start {
			return true
		}
	}
	return false
}

// checkWholeAnswer checks that answers are complete and belong to their requests,
// and that connections break only through a fault of the entry node.
func checkWholeAnswer(r *run, v *verdict) {
	for _, a := range r.attempts {
		if a.response == nil {
			continue
		}
		switch a.response.Result {
		case history.ResultAnswer:
			v.Judged++
			checkAnswer(a, v)
		case history.ResultBroken:
			v.Judged++
			if !r.faultyDuring(a.request.Entry, a.sent, a.received) {
				v.addViolation(a.request.ID, "connection to %s broke without a failure of the entry", a.request.Entry)
			}
			checkPartialAnswer(a, v)
		case history.ResultRefused:
			checkPartialAnswer(a, v)
		}
	}
}

// checkAnswer checks that an answer is complete and belongs to the request.
func checkAnswer(a *attempt, v *verdict) {
	if a.request.Chat {
		want := expectedText(a.request)
		if a.response.Text != want {
			v.addViolation(a.request.ID, "answer has %d bytes that differ from the expected %d: %.60q",
				len(a.response.Text), len(want), a.response.Text)
		}
		return
	}
	var answer service.Answer
	if err := json.Unmarshal([]byte(a.response.Text), &answer); err != nil {
		v.addViolation(a.request.ID, "answer is no whole answer of the service: %.60q", a.response.Text)
		return
	}
	if answer.RequestID != a.request.ID {
		v.addViolation(a.request.ID, "answer is that of request %s", answer.RequestID)
	}
}

// checkPartialAnswer checks that the part of a chat answer received before an
// error belongs to the request.
func checkPartialAnswer(a *attempt, v *verdict) {
	if a.request.Chat && a.request.ID != "" && !strings.HasPrefix(expectedText(a.request), a.response.Text) {
		v.addViolation(a.request.ID, "part of an answer is not that of the request: %.60q", a.response.Text)
	}
}

// expectedText returns the complete text that the engine stand-in generates for a
// chat request.
func expectedText(r history.Request) string {
	var text strings.Builder
	for i := range r.MaxTokens {
		text.WriteString(engine.TokenText(r.ID, i))
	}
	return text.String()
}
