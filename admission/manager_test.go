package admission_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/admission"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// withManager runs test in virtual time with a manager that owns a group of one
// target.
func withManager(t *testing.T, test func(t *testing.T, m *admission.Manager)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		m := admission.New(admission.Options{Node: "n0"})
		go m.Run(ctx)
		m.ApplyTopology(testTopology(1, topology.Options{}))
		test(t, m)
		cancel()
		synctest.Wait()
	})
}

func largeRequest(tier uint32) *schema.PermitRequest {
	return &schema.PermitRequest{Group: testGroup, Model: "m", Service: "llm", PromptTokens: 10000, Tier: tier}
}

func TestAcquireWaitsForAReturn(t *testing.T) {
	withManager(t, func(t *testing.T, m *admission.Manager) {
		is := is.New(t)
		first, err := m.Acquire(t.Context(), largeRequest(0))
		is.NoErr(err)
		time.AfterFunc(3*time.Second, func() {
			m.Return(&schema.PermitReturn{Number: first.GetPermit().GetNumber(), Group: testGroup})
		})
		begin := time.Now()
		second, err := m.Acquire(t.Context(), largeRequest(2))
		is.NoErr(err)
		is.Equal(time.Since(begin), 3*time.Second)
		is.True(second.GetPermit().GetNumber() != first.GetPermit().GetNumber())
	})
}

func TestCancelledAcquireLeavesTheQueue(t *testing.T) {
	withManager(t, func(t *testing.T, m *admission.Manager) {
		is := is.New(t)
		_, err := m.Acquire(t.Context(), largeRequest(0))
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = m.Acquire(ctx, largeRequest(0))
		is.Equal(err, context.DeadlineExceeded)
		for _, g := range m.Status() {
			for _, queued := range g.GetQueued() {
				is.Equal(queued, uint32(0))
			}
		}
	})
}

func TestDrainRefusesWaitersAsNotRun(t *testing.T) {
	withManager(t, func(t *testing.T, m *admission.Manager) {
		is := is.New(t)
		_, err := m.Acquire(t.Context(), largeRequest(0))
		is.NoErr(err)
		time.AfterFunc(time.Second, m.Drain)
		_, err = m.Acquire(t.Context(), largeRequest(0))
		is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_DRAINING)
		is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_NOT_RUN)
	})
}
