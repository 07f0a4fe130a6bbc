package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/admission"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

const poison = 7

// fakeScreen counts target deaths caused by the poison fingerprint and requests
// that completed alone. The poison is suspect after one death and quarantined
// after two.
type fakeScreen struct {
	deaths, survived int
}

func (s *fakeScreen) Check(_ time.Time, fingerprint uint64) (admission.Verdict, error) {
	switch {
	case fingerprint != poison || s.deaths == 0:
		return admission.VerdictClear, nil
	case s.deaths == 1:
		return admission.VerdictSuspect, nil
	default:
		return admission.VerdictQuarantined, fault.New(schema.ErrorKind_ERROR_KIND_QUARANTINED, "m", "r").WithOutcomeNotRun()
	}
}

func (s *fakeScreen) RecordTargetDeath(_ time.Time, _ string, fingerprint uint64, _ bool) {
	if fingerprint == poison {
		s.deaths++
	}
}

func (s *fakeScreen) RecordSoloCompletion(uint64) { s.survived++ }

func returnPermitAs(o *admission.Owner, r *result, kind schema.PermitResult) {
	p := r.reply.GetPermit()
	o.Return(start, &schema.PermitReturn{Number: p.GetNumber(), Group: p.GetGroup(), Result: kind})
}

func TestSuspectRunsAloneWithoutBlockingOthers(t *testing.T) {
	is := is.New(t)
	screen := &fakeScreen{deaths: 1}
	o := admission.NewOwner(admission.OwnerOptions{Node: "n0", FingerprintScreener: screen})
	o.Apply(start, testTopology(2, noOptions))
	first := enqueue(o, start, &schema.PermitRequest{PromptTokens: 10})
	second := enqueue(o, start, &schema.PermitRequest{PromptTokens: 10})
	suspect := enqueue(o, start, &schema.PermitRequest{PromptTokens: 10, Fingerprint: poison})
	is.True(suspect.reply == nil)
	other := enqueue(o, start, &schema.PermitRequest{PromptTokens: 10})
	is.True(other.reply.GetPermit() != nil)
	returnPermitAs(o, first, schema.PermitResult_PERMIT_RESULT_COMPLETED)
	is.True(suspect.reply.GetPermit() != nil)
	shared := enqueue(o, start, &schema.PermitRequest{PromptTokens: 10})
	is.Equal(shared.reply.GetPermit().GetTarget(), second.reply.GetPermit().GetTarget())
	returnPermitAs(o, suspect, schema.PermitResult_PERMIT_RESULT_COMPLETED)
	is.Equal(screen.survived, 1)
}

func TestQuarantinedRequestIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	o := admission.NewOwner(admission.OwnerOptions{Node: "n0", FingerprintScreener: &fakeScreen{}})
	o.Apply(start, testTopology(2, noOptions))
	for range 2 {
		r := enqueue(o, start, &schema.PermitRequest{PromptTokens: 10, Fingerprint: poison})
		returnPermitAs(o, r, schema.PermitResult_PERMIT_RESULT_TARGET_DIED)
	}
	r := enqueue(o, start, &schema.PermitRequest{PromptTokens: 10, Fingerprint: poison})
	is.Equal(r.kind(), schema.ErrorKind_ERROR_KIND_QUARANTINED)
	is.Equal(fault.From(r.err).Outcome, schema.Outcome_OUTCOME_NOT_RUN)
}
