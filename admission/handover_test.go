package admission_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/admission"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

func TestHandoverKeepsPermitsInUse(t *testing.T) {
	is := is.New(t)
	before := newOwner(nil, 1)
	running := enqueue(before, start, &schema.PermitRequest{PromptTokens: 8000})
	next := admission.NewOwner(admission.OwnerOptions{Node: "n1", PermitNumberBase: 1 << 40})
	for range 2 {
		for _, r := range before.Handover(start) {
			next.AcceptHandover(start, r)
		}
		next.Apply(start, topology.Build(testConfig(1), []*schema.Member{member("n1", "a")}, noOptions))
	}
	targets := next.Status()[1].GetTargets()
	is.Equal(targets[0].GetInFlight(), uint32(1))
	returnPermit(next, start, running)
	is.Equal(next.Status()[1].GetTargets()[0].GetInFlight(), uint32(0))
}
