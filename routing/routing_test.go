package routing_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/routing"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// fakeOwners is a routing.Caller that answers permit requests with answer, and
// records handovers.
type fakeOwners struct {
	mu        sync.Mutex
	calls     int
	answer    func(ctx context.Context, address string, r *schema.PermitRequest) (*schema.PermitReply, error)
	handovers []*schema.HandoverRequest
}

func (f *fakeOwners) Call(ctx context.Context, address string, _ schema.Method, req, resp proto.Message) error {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	switch r := req.(type) {
	case *schema.HandoverRequest:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.handovers = append(f.handovers, r)
		return nil
	case *schema.PermitRequest:
		reply, err := f.answer(ctx, address, r)
		if err != nil {
			return err
		}
		proto.Merge(resp, reply)
	}
	return nil
}

func grantPermit(r *schema.PermitRequest) (*schema.PermitReply, error) {
	return &schema.PermitReply{Permit: &schema.Permit{Number: 1, Group: r.GetGroup()}}, nil
}

var errConnectionLost = fault.Wrap(schema.ErrorKind_ERROR_KIND_UNREACHABLE, errors.New("reset"), "link", "retry")

func newSnapshot(nodes ...string) *topology.Snapshot {
	config := &schema.Config{
		AvailabilityZones: []*schema.AvailabilityZone{{Name: "z", Region: "r"}},
		Services:          []*schema.Service{{Name: "llm"}},
		Vms: []*schema.VM{{Name: "vm", AvailabilityZone: "z",
			Workloads: []*schema.Workload{{Service: "llm", Address: "127.0.0.1:1"}}}},
	}
	var members []*schema.Member
	for _, n := range nodes {
		members = append(members, &schema.Member{Node: n, AvailabilityZone: "z", Region: "r",
			PeerAddress: n, State: schema.MemberState_MEMBER_STATE_ACTIVE})
	}
	return topology.Build(config, members, topology.Options{})
}

func newPermits(owners *fakeOwners, current *topology.Current) *routing.Permits {
	location := routing.Location{Node: "entry", AvailabilityZone: "z", Region: "r"}
	return routing.NewPermits(location, owners, nil, current, &log.Logger{Level: log.PanicLevel})
}

func newRequest(deadline time.Duration) *schema.PermitRequest {
	return &schema.PermitRequest{RequestId: "id", Service: "llm", Deadline: durationpb.New(deadline)}
}

func TestWaitingRequestIsSentToNewOwnerWithItsArrivalTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		current := topology.NewCurrent()
		current.Store(newSnapshot("a"))
		var waited time.Duration
		owners := &fakeOwners{answer: func(ctx context.Context, address string, r *schema.PermitRequest) (*schema.PermitReply, error) {
			if address == "a" { // Owner a is paused and does not answer.
				<-ctx.Done()
				return nil, errConnectionLost
			}
			waited = r.GetWaited().AsDuration()
			return grantPermit(r)
		}}
		go func() {
			time.Sleep(time.Second)
			current.Store(newSnapshot("b"))
		}()
		_, err := newPermits(owners, current).Acquire(t.Context(), newRequest(10*time.Second))
		is.NoErr(err)
		is.True(waited >= time.Second)
		is.True(waited < 2*time.Second)
	})
}

func TestRefusalIsFinalWithOutcomeNotRun(t *testing.T) {
	is := is.New(t)
	current := topology.NewCurrent()
	current.Store(newSnapshot("a"))
	owners := &fakeOwners{answer: func(context.Context, string, *schema.PermitRequest) (*schema.PermitReply, error) {
		return nil, fault.New(schema.ErrorKind_ERROR_KIND_OVERLOADED, "full", "retry")
	}}
	_, err := newPermits(owners, current).Acquire(t.Context(), newRequest(time.Second))
	is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_OVERLOADED)
	is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_NOT_RUN)
	is.Equal(owners.calls, 1)
}

func TestRedirectLoopEndsInDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		current := topology.NewCurrent()
		current.Store(newSnapshot("a"))
		owners := &fakeOwners{answer: func(_ context.Context, _ string, r *schema.PermitRequest) (*schema.PermitReply, error) {
			return &schema.PermitReply{RedirectGroup: r.GetGroup()}, nil
		}}
		_, err := newPermits(owners, current).Acquire(t.Context(), newRequest(2*time.Second))
		is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_DEADLINE)
	})
}

func TestLostOwnerCausesNoRetryStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const requests = 200
		current := topology.NewCurrent()
		current.Store(newSnapshot("a"))
		owners := &fakeOwners{answer: func(context.Context, string, *schema.PermitRequest) (*schema.PermitReply, error) {
			return nil, errConnectionLost
		}}
		p := newPermits(owners, current)
		var wg sync.WaitGroup
		for range requests {
			wg.Go(func() { _, _ = p.Acquire(t.Context(), newRequest(2*time.Second)) })
		}
		wg.Wait()
		// Each request makes one attempt, and the service may retry as often as its
		// initial balance plus a fifth of the first attempts. The other requests wait
		// for a new owner and retry about once per second at most.
		is.True(owners.calls <= 4*requests)
	})
}

func TestNewOwnerReceivesPermitsStillInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		current := topology.NewCurrent()
		current.Store(newSnapshot("a"))
		owners := &fakeOwners{answer: func(_ context.Context, _ string, r *schema.PermitRequest) (*schema.PermitReply, error) {
			return grantPermit(r)
		}}
		p := newPermits(owners, current)
		ctx, cancel := context.WithCancel(t.Context())
		go p.Run(ctx)
		_, err := p.Acquire(t.Context(), newRequest(time.Second))
		is.NoErr(err)
		current.Store(newSnapshot("b"))
		synctest.Wait()
		is.Equal(len(owners.handovers), 1)
		is.Equal(owners.handovers[0].GetTargets()[0].GetPermits()[0].GetRequestId(), "id")
		cancel()
		synctest.Wait()
	})
}
