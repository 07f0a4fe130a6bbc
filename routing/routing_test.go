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

// fakeOwners answers calls by peer address.
type fakeOwners struct {
	mu     sync.Mutex
	calls  int
	answer func(ctx context.Context, address string, r *schema.PermitRequest) (*schema.PermitReply, error)
	moved  []*schema.HandoverRequest
}

func (f *fakeOwners) Call(ctx context.Context, address string, _ schema.Method, req, resp proto.Message) error {
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	switch r := req.(type) {
	case *schema.HandoverRequest:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.moved = append(f.moved, r)
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

func grant(r *schema.PermitRequest) (*schema.PermitReply, error) {
	return &schema.PermitReply{Permit: &schema.Permit{Number: 1, Group: r.GetGroup()}}, nil
}

var errLost = fault.Wrap(schema.ErrorKind_ERROR_KIND_UNREACHABLE, errors.New("reset"), "link", "retry")

func snapshotOf(nodes ...string) *topology.Snapshot {
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
	place := routing.Place{Node: "entry", AvailabilityZone: "z", Region: "r"}
	return routing.NewPermits(place, owners, nil, current, &log.Logger{Level: log.PanicLevel})
}

func request(deadline time.Duration) *schema.PermitRequest {
	return &schema.PermitRequest{RequestId: "id", Service: "llm", Deadline: durationpb.New(deadline)}
}

func TestRequestWaitingAtALostOwnerIsAskedAtTheNextWithItsArrivalTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		current := topology.NewCurrent()
		current.Store(snapshotOf("a"))
		var waited time.Duration
		owners := &fakeOwners{answer: func(ctx context.Context, address string, r *schema.PermitRequest) (*schema.PermitReply, error) {
			if address == "a" { // Paused: it answers nothing.
				<-ctx.Done()
				return nil, errLost
			}
			waited = r.GetWaited().AsDuration()
			return grant(r)
		}}
		go func() {
			time.Sleep(time.Second)
			current.Store(snapshotOf("b"))
		}()
		_, err := newPermits(owners, current).Acquire(t.Context(), request(10*time.Second))
		is.NoErr(err)
		is.True(waited >= time.Second)
		is.True(waited < 2*time.Second)
	})
}

func TestRefusalIsFinalAndNotRun(t *testing.T) {
	is := is.New(t)
	current := topology.NewCurrent()
	current.Store(snapshotOf("a"))
	owners := &fakeOwners{answer: func(context.Context, string, *schema.PermitRequest) (*schema.PermitReply, error) {
		return nil, fault.New(schema.ErrorKind_ERROR_KIND_OVERLOADED, "full", "retry")
	}}
	_, err := newPermits(owners, current).Acquire(t.Context(), request(time.Second))
	is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_OVERLOADED)
	is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_NOT_RUN)
	is.Equal(owners.calls, 1)
}

func TestOwnersThatRedirectInACircleEndInDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		current := topology.NewCurrent()
		current.Store(snapshotOf("a"))
		owners := &fakeOwners{answer: func(_ context.Context, _ string, r *schema.PermitRequest) (*schema.PermitReply, error) {
			return &schema.PermitReply{RedirectGroup: r.GetGroup()}, nil
		}}
		_, err := newPermits(owners, current).Acquire(t.Context(), request(2*time.Second))
		is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_DEADLINE)
	})
}

func TestLostOwnerCausesNoRetryStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const requests = 200
		current := topology.NewCurrent()
		current.Store(snapshotOf("a"))
		owners := &fakeOwners{answer: func(context.Context, string, *schema.PermitRequest) (*schema.PermitReply, error) {
			return nil, errLost
		}}
		p := newPermits(owners, current)
		var wg sync.WaitGroup
		for range requests {
			wg.Go(func() { _, _ = p.Acquire(t.Context(), request(2*time.Second)) })
		}
		wg.Wait()
		// Each request may ask once, and the service may retry its reserve and a
		// fifth of the first tries; the rest waits for another owner, asking
		// again about once a second at most.
		is.True(owners.calls <= 4*requests)
	})
}

func TestNewOwnerLearnsThePermitsStillInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		current := topology.NewCurrent()
		current.Store(snapshotOf("a"))
		owners := &fakeOwners{answer: func(_ context.Context, _ string, r *schema.PermitRequest) (*schema.PermitReply, error) {
			return grant(r)
		}}
		p := newPermits(owners, current)
		ctx, cancel := context.WithCancel(t.Context())
		go p.Run(ctx)
		_, err := p.Acquire(t.Context(), request(time.Second))
		is.NoErr(err)
		current.Store(snapshotOf("b"))
		synctest.Wait()
		is.Equal(len(owners.moved), 1)
		is.Equal(owners.moved[0].GetTargets()[0].GetPermits()[0].GetRequestId(), "id")
		cancel()
		synctest.Wait()
	})
}
