package checker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/standin/checker"
	"github.com/primrosemoor/primrosemoor/standin/history"
	"github.com/primrosemoor/primrosemoor/standin/record"
)

// historyBuilder builds a history; times are in milliseconds.
type historyBuilder struct {
	lines   []history.Line
	records []record.Line
	attempt uint64
}

func millisToNanos(millis int64) int64 { return millis * int64(time.Millisecond) }

func (s *historyBuilder) send(sent, received int64, q history.Request, r history.Response) {
	s.attempt++
	s.lines = append(s.lines,
		history.Line{Kind: history.KindSent, At: millisToNanos(sent), Attempt: s.attempt, Request: &q},
		history.Line{Kind: history.KindReceived, At: millisToNanos(received), Attempt: s.attempt, Response: &r})
}

func (s *historyBuilder) start(millis int64, target, id string) {
	s.records = append(s.records, record.Line{
		Kind: record.KindStart, Target: target, RequestID: id, StartUnixNanos: millisToNanos(millis),
	})
}

func (s *historyBuilder) event(millis int64, line history.Line) {
	line.At = millisToNanos(millis)
	s.lines = append(s.lines, line)
}

func chat(id string, rank int) history.Request {
	return history.Request{ID: id, Entry: "n1", Service: "llm", Rank: rank, Chat: true, MaxTokens: 2}
}

func booking(id string) history.Request {
	return history.Request{ID: id, Entry: "n1", Service: "app", Method: "POST", Path: "/book"}
}

func answer(text string) history.Response {
	return history.Response{Result: history.ResultAnswer, Status: 200, Text: text}
}

func refused(problem, outcome string) history.Response {
	return history.Response{Result: history.ResultRefused, Status: 503, Problem: problem, Outcome: outcome}
}

var brokenConnection = history.Response{Result: history.ResultBroken}

// addValidRun adds a run that keeps every promise and to which every promise
// applies.
func addValidRun(s *historyBuilder) {
	s.send(0, 50, chat("a", 0), answer("a:0 a:1 "))
	s.start(10, "e1", "a")
	s.send(100, 150, booking("b"), answer(`{"request_id":"b"}`))
	s.start(110, "s1", "b")
	s.send(200, 2000, chat("low", 2), refused("overloaded", "not_run"))
	s.send(600, 1800, chat("high", 0), refused("overloaded", "not_run"))
	s.event(3000, history.Line{Kind: history.KindLeaving, Targets: []string{"e1"}})
	s.send(3000, 3500, chat("c", 0), answer("c:0 c:1 "))
	s.start(3100, "e1", "c")
	s.event(3200, history.Line{Kind: history.KindStop, Node: "n1"})
	s.event(3600, history.Line{Kind: history.KindStopped, Node: "n1"})
	s.event(4000, history.Line{Kind: history.KindAccepted, Revision: 2})
	s.event(5000, history.Line{Kind: history.KindObserved, Node: "n2", Revision: 1})
	s.event(12000, history.Line{Kind: history.KindObserved, Node: "n2", Revision: 2})
}

func TestValidRunPasses(t *testing.T) {
	is := is.New(t)
	var s historyBuilder
	addValidRun(&s)
	report := checker.Check(s.lines, s.records)
	is.True(!report.Failed())
	for _, v := range report.Verdicts {
		is.True(v.Judged > 0) // Every promise applies.
	}
}

func TestEveryPromiseViolationIsDetected(t *testing.T) {
	cases := []struct {
		name    string
		promise checker.Promise
		add     func(*historyBuilder)
	}{
		{"chat runs twice", checker.DispatchedOnce, func(s *historyBuilder) { s.start(20, "e2", "a") }},
		{"booking runs twice", checker.NonIdempotentOnce, func(s *historyBuilder) { s.start(120, "s2", "b") }},
		{"low tier runs after a shed", checker.TierOrder, func(s *historyBuilder) {
			s.send(150, 2500, chat("overtaker", 1), answer("overtaker:0 overtaker:1 "))
			s.start(2300, "e1", "overtaker")
		}},
		{"low tier that arrived before its entry node froze runs after a shed", checker.TierOrder, func(s *historyBuilder) {
			q := chat("arrived", 2)
			q.Entry = "n3"
			s.send(150, 2900, q, answer("arrived:0 arrived:1 "))
			s.event(500, history.Line{Kind: history.KindFault, Node: "n3", Fault: history.FaultFreeze})
			s.event(2500, history.Line{Kind: history.KindFault, Node: "n3", Fault: history.FaultThaw})
			s.start(2600, "e1", "arrived")
		}},
		{"low tier runs after a refusal before the deadline", checker.TierOrder, func(s *historyBuilder) {
			shortDeadline := chat("early", 0)
			shortDeadline.DeadlineMillis = 1500
			s.send(600, 2000, shortDeadline, refused("deadline", "not_run"))
			s.send(150, 2500, chat("overtaker", 1), answer("overtaker:0 overtaker:1 "))
			s.start(2300, "e1", "overtaker")
		}},
		{"answer is truncated", checker.WholeAnswer, func(s *historyBuilder) {
			s.send(0, 50, chat("d", 0), answer("d:0 "))
		}},
		{"answer of another request", checker.WholeAnswer, func(s *historyBuilder) {
			s.send(0, 50, booking("d"), answer(`{"request_id":"b"}`))
		}},
		{"partial answer of another request", checker.WholeAnswer, func(s *historyBuilder) {
			r := refused("target-failed", "unknown")
			r.Text = "a:0 "
			s.send(0, 50, chat("d", 0), r)
		}},
		{"connection breaks without a fault", checker.WholeAnswer, func(s *historyBuilder) {
			s.send(0, 50, chat("d", 0), brokenConnection)
		}},
		{"not_run after it ran", checker.NotRunIsTrue, func(s *historyBuilder) {
			s.send(0, 50, booking("d"), refused("no-target", "not_run"))
			s.start(10, "s1", "d")
		}},
		{"not_run, then it runs without a resend", checker.NotRunIsTrue, func(s *historyBuilder) {
			s.send(0, 50, booking("d"), refused("no-target", "not_run"))
			s.start(500, "s1", "d")
		}},
		{"second attempt reported as not_run though the first ran", checker.NotRunIsTrue, func(s *historyBuilder) {
			s.send(0, 50, booking("d"), brokenConnection)
			s.start(10, "s1", "d")
			s.send(60, 90, booking("d"), refused("conflict", "not_run"))
		}},
		{"leaving target receives new work", checker.LeavingTarget, func(s *historyBuilder) { s.start(6500, "e1", "c") }},
		{"target's own leaving signal is ignored", checker.LeavingTarget, func(s *historyBuilder) {
			s.records = append(s.records, record.Line{Kind: record.KindLeaving, Target: "e2", StartUnixNanos: millisToNanos(100)})
			s.start(3200, "e2", "a")
		}},
		{"stop breaks a stream", checker.GracefulStop, func(s *historyBuilder) { s.send(3100, 3300, chat("d", 0), brokenConnection) }},
		{"stop refuses an accepted request", checker.GracefulStop, func(s *historyBuilder) {
			s.send(3100, 3300, chat("d", 0), refused("draining", "not_run"))
		}},
		{"stop of a node makes an outcome unknown at another node", checker.GracefulStop, func(s *historyBuilder) {
			q := booking("d")
			q.Entry = "n2"
			s.send(3100, 3300, q, refused("unreachable", "unknown"))
		}},
		{"stop loses a stored outcome", checker.GracefulStop, func(s *historyBuilder) {
			s.send(300, 350, booking("d"), refused("target-failed", "unknown"))
			s.send(3300, 3400, booking("d"), refused("already-finished", "unknown"))
		}},
		{"stop makes the ledger unavailable", checker.GracefulStop, func(s *historyBuilder) {
			s.send(300, 350, booking("d"), refused("store-unavailable", "unknown"))
			s.send(3300, 3400, booking("d"), refused("store-unavailable", "unknown"))
		}},
		{"revision is late", checker.Configuration, func(s *historyBuilder) {
			s.event(13100, history.Line{Kind: history.KindObserved, Node: "n3", Revision: 1})
		}},
		{"revision reverts", checker.Configuration, func(s *historyBuilder) {
			s.event(4500, history.Line{Kind: history.KindObserved, Node: "n3", Revision: 2})
			s.event(4600, history.Line{Kind: history.KindObserved, Node: "n3", Revision: 1})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s historyBuilder
			addValidRun(&s)
			c.add(&s)
			report := checker.Check(s.lines, s.records)
			is.True(len(report.Verdict(c.promise).Violations) > 0)
		})
	}
}

// A request refused at the deadline that its caller stated was not shed, so a
// lower-tier request may run afterwards.
func TestRefusalAtCallersDeadlineIsNotShedding(t *testing.T) {
	is := is.New(t)
	var s historyBuilder
	patient := chat("patient", 0)
	patient.DeadlineMillis = 1000
	s.send(600, 1605, patient, refused("deadline", "not_run"))
	s.send(150, 2500, chat("low", 2), answer("low:0 low:1 "))
	s.start(2300, "e1", "low")
	is.Equal(len(checker.Check(s.lines, s.records).Verdict(checker.TierOrder).Violations), 0)
}

// An unknown outcome that is reported again during a stop, but was lost before it,
// does not count against the stop.
func TestOutcomeLostBeforeStopIsNotAttributedToStop(t *testing.T) {
	is := is.New(t)
	var s historyBuilder
	s.send(0, 50, booking("d"), refused("unreachable", "unknown"))
	s.event(1000, history.Line{Kind: history.KindStop, Node: "n1"})
	s.send(1100, 1150, booking("d"), refused("unknown-effect", "unknown"))
	s.event(1200, history.Line{Kind: history.KindStopped, Node: "n1"})
	is.True(!checker.Check(s.lines, s.records).Failed())
}

// A request sent while its entry node was frozen is read only after the thaw; it
// was not waiting when a request of a higher tier was shed.
func TestRequestSentToFrozenEntryIsNotWaiting(t *testing.T) {
	is := is.New(t)
	var s historyBuilder
	addValidRun(&s)
	s.event(120, history.Line{Kind: history.KindFault, Node: "n3", Fault: history.FaultFreeze})
	s.event(2500, history.Line{Kind: history.KindFault, Node: "n3", Fault: history.FaultThaw})
	q := chat("buffered", 2)
	q.Entry = "n3"
	s.send(150, 2900, q, answer("buffered:0 buffered:1 "))
	s.start(2600, "e1", "buffered")
	is.Equal(len(checker.Check(s.lines, s.records).Verdict(checker.TierOrder).Violations), 0)
}

// A killed entry node explains a broken connection, and a resend explains a run
// after not_run.
func TestFaultsAndResendsExplainOutcomes(t *testing.T) {
	is := is.New(t)
	var s historyBuilder
	s.event(20, history.Line{Kind: history.KindFault, Node: "n1", Fault: history.FaultKill})
	s.send(0, 21, chat("a", 0), brokenConnection) // Its entry node was killed.
	s.start(10, "e1", "a")
	s.send(0, 50, booking("b"), refused("no-target", "not_run"))
	s.send(60, 90, booking("b"), answer(`{"request_id":"b"}`)) // It was resent after not_run.
	s.start(70, "s1", "b")
	is.True(!checker.Check(s.lines, s.records).Failed())
}
