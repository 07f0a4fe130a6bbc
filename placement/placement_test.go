package placement_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/placement"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

// fakeTarget is a target that executes orders immediately.
type fakeTarget struct {
	checksFence bool

	mu     sync.Mutex
	state  placement.TargetState
	fences []uint64
	// blockOrder, if set, delays the next order after it was sent, until the
	// channel is closed.
	blockOrder chan struct{}
}

func (f *fakeTarget) State(context.Context, string) (placement.TargetState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.state
	state.Models = slices.Clone(state.Models)
	return state, nil
}

func (f *fakeTarget) Order(_ context.Context, _ string, order placement.Order, fence uint64) error {
	f.mu.Lock()
	blockOrder := f.blockOrder
	f.blockOrder = nil
	f.mu.Unlock()
	if blockOrder != nil {
		<-blockOrder
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checksFence && fence < f.state.Fence {
		return fault.New(schema.ErrorKind_ERROR_KIND_CONFLICT, "old fence", "")
	}
	f.state.Fence = max(f.state.Fence, fence)
	f.fences = append(f.fences, fence)
	f.state.Models = slices.DeleteFunc(f.state.Models, func(m string) bool { return m == order.Model })
	if order.Kind == placement.OrderLoad {
		f.state.Models = append(f.state.Models, order.Model)
	}
	return nil
}

func (f *fakeTarget) models() []string {
	state, _ := f.State(context.Background(), "")
	return state.Models
}

func config(model string, checksFence bool) *schema.Config {
	return &schema.Config{
		Services: []*schema.Service{{
			Name: "llm", Kind: schema.ServiceKind_SERVICE_KIND_ENGINE, ChecksFence: checksFence,
			Models: []string{model}, Replicas: []*schema.ModelReplicas{{Model: model, Count: 1}},
		}},
		AvailabilityZones: []*schema.AvailabilityZone{{Name: "a"}},
		Vms: []*schema.VM{{Name: "vm", AvailabilityZone: "a", Workloads: []*schema.Workload{
			{Service: "llm", Address: "vm:1"},
		}}},
	}
}

func ownedBy(node string, c *schema.Config) *topology.Snapshot {
	members := []*schema.Member{{Node: node, AvailabilityZone: "a", State: schema.MemberState_MEMBER_STATE_ACTIVE}}
	return topology.Build(c, members, topology.Options{})
}

func start(t *testing.T, node string, store objects.Store, target *fakeTarget, c *schema.Config) (*placement.Manager, context.CancelFunc) {
	m := placement.New(placement.Options{Node: node, Store: store, Targets: target, MaxPause: 20 * time.Second})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = m.Run(ctx) }()
	m.ApplyTopology(ownedBy(node, c))
	return m, cancel
}

func TestControllerLoadsRegisteredModelsAndHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := objects.NewMemory()
		target := &fakeTarget{}
		_, stop := start(t, "n1", store, target, config("m1", false))
		time.Sleep(time.Second)
		is.Equal(target.models(), []string{"m1"})
		stop()
		synctest.Wait()
		start(t, "n2", store, target, config("m2", false))
		time.Sleep(10 * time.Second)
		is.Equal(target.models(), []string{"m2"})
		is.Equal(target.fences[len(target.fences)-1], uint64(2))
	})
}

func TestNewControllerWaitsForLeaseAndPauseIfTargetsDoNotCheckFences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := objects.NewMemory()
		blockOrder := make(chan struct{})
		target := &fakeTarget{blockOrder: blockOrder}
		start(t, "n1", store, target, config("m1", false))
		synctest.Wait() // The first controller is paused with an order in flight.
		start(t, "n2", store, target, config("m2", false))
		time.Sleep(34 * time.Second)
		is.Equal(len(target.models()), 0)
		close(blockOrder) // It resumes within the tolerated pause.
		time.Sleep(time.Minute)
		is.Equal(target.models(), []string{"m2"})
	})
}

func TestOrderOfAnOlderControllerIsRejectedIfTargetsCheckFences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := objects.NewMemory()
		blockOrder := make(chan struct{})
		target := &fakeTarget{checksFence: true, blockOrder: blockOrder}
		start(t, "n1", store, target, config("m1", true))
		synctest.Wait()
		start(t, "n2", store, target, config("m2", true))
		time.Sleep(time.Minute)
		is.Equal(target.models(), []string{"m2"})
		close(blockOrder)
		time.Sleep(time.Minute)
		is.Equal(target.models(), []string{"m2"})
		is.True(slices.IsSorted(target.fences))
	})
}

func TestControllerSendsNoOrdersWhileTheStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := objects.NewMemory()
		target := &fakeTarget{}
		m, _ := start(t, "n1", store, target, config("m1", false))
		time.Sleep(time.Second)
		store.Inject(func(objects.Operation, string) objects.Fault { return objects.Fault{Unavailable: true} })
		m.ApplyTopology(ownedBy("n1", config("m2", false)))
		time.Sleep(5 * time.Minute)
		is.Equal(target.models(), []string{"m1"})
		store.Inject(nil)
		time.Sleep(5 * time.Minute)
		is.Equal(target.models(), []string{"m2"})
	})
}

func TestHTTPTargetsImplementTheOrderProtocol(t *testing.T) {
	is := is.New(t)
	var body string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		switch {
		case r.URL.Path == "/v1/state":
			_, _ = w.Write([]byte(`{"models":["m"],"loading":["n"],"role":"decode","leaving":true,"fence":3}`))
		case strings.Contains(string(raw), `"fence":2`):
			w.WriteHeader(http.StatusConflict)
		default:
			body = string(raw)
		}
	}))
	defer server.Close()
	targets := placement.HTTPTargets{Client: server.Client()}
	address := strings.TrimPrefix(server.URL, "http://")
	state, err := targets.State(t.Context(), address)
	is.NoErr(err)
	is.Equal(state, placement.TargetState{Models: []string{"m"}, Loading: []string{"n"}, Role: "decode", Leaving: true, Fence: 3})
	order := placement.Order{Kind: placement.OrderLoad, Model: "m"}
	is.NoErr(targets.Order(t.Context(), address, order, 4))
	is.Equal(body, `{"order":"load","model":"m","fence":4}`)
	err = targets.Order(t.Context(), address, order, 2)
	is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_CONFLICT)
}
