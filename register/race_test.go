package register_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/internal/rapidtest"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/register"
	"github.com/primrosemoor/primrosemoor/schema"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "20261204", "100") }

// history is one run of several operators against a faulty store.
type history struct {
	Seed      uint64
	VMs       int
	Operators int
	Edits     int
	// FaultShare is the share of calls that a fault befalls.
	FaultShare float64
	// Patience bounds each Apply.
	Patience time.Duration
}

func drawHistory(patience time.Duration) func(*rapid.T) history {
	return func(t *rapid.T) history {
		return history{
			Seed:       rapid.Uint64().Draw(t, "seed"),
			VMs:        rapid.IntRange(1, 60).Draw(t, "vms"),
			Operators:  rapid.IntRange(2, 4).Draw(t, "operators"),
			Edits:      rapid.IntRange(1, 6).Draw(t, "edits"),
			FaultShare: rapid.Float64Range(0, 0.4).Draw(t, "faults"),
			Patience:   patience,
		}
	}
}

// attempt is one edit and what Apply said of it.
type attempt struct {
	change   register.Change
	revision uint64
	kind     schema.ErrorKind
}

// run lets the operators edit at once and returns what each was told.
func (h history) run(ctx context.Context, store objects.Store) []attempt {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var attempts []attempt
	for operator := range h.Operators {
		random := rand.New(rand.NewPCG(h.Seed, uint64(operator)))
		wg.Go(func() {
			for edit := range h.Edits {
				base, err := register.Read(ctx, store)
				if err != nil {
					continue
				}
				pause(ctx, time.Duration(random.IntN(100))*time.Millisecond)
				change := randomChange(base, random, fmt.Sprintf("%d-%d", operator, edit))
				timed, cancel := context.WithTimeout(ctx, h.Patience)
				revision, err := register.Apply(timed, store, []register.Change{change}, fmt.Sprint(operator))
				cancel()
				mu.Lock()
				attempts = append(attempts, attempt{change, revision, fault.KindOf(err)})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return attempts
}

// randomChange edits, removes or adds a VM. No two edits are alike.
func randomChange(base *schema.Config, random *rand.Rand, tag string) register.Change {
	want := proto.CloneOf(base)
	i := random.IntN(len(want.Vms) + 1)
	switch {
	case i == len(want.Vms):
		want.Vms = append(want.Vms, bareVM("new-"+tag))
	case random.IntN(8) == 0:
		want.Vms = slices.Delete(want.Vms, i, i+1)
	default:
		want.Vms[i].Generation = tag
	}
	return register.Diff(base, want)[0]
}

func bareVM(name string) *schema.VM {
	return &schema.VM{Name: name, AvailabilityZone: "munster-1", State: schema.VMState_VM_STATE_ACTIVE}
}

// faults befall a share of the calls.
func (h history) faults() objects.Injector {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(h.Seed, 99))
	return func(objects.Operation, string) objects.Fault {
		mu.Lock()
		defer mu.Unlock()
		f := objects.Fault{Delay: time.Duration(random.IntN(5)) * time.Millisecond}
		if random.Float64() >= h.FaultShare {
			return f
		}
		switch random.IntN(4) {
		case 0:
			f.LoseAnswer = true
		case 1:
			f.LateEffect = time.Duration(1+random.IntN(300)) * time.Millisecond
		case 2:
			f.Unavailable = true
		default:
			f.Throttled = true
		}
		return f
	}
}

// judge runs the history in virtual time and returns what is wrong with it.
// wrap may replace the store that the operators use.
func (h history) judge(t *testing.T, wrap func(*objects.Memory) objects.Store) (wrong error) {
	synctest.Test(t, func(t *testing.T) {
		store := objects.NewMemory()
		start := drumlin(t)
		start.Vms = nil
		for i := range h.VMs {
			start.Vms = append(start.Vms, bareVM(fmt.Sprintf("vm-%02d", i)))
		}
		start = install(t, store, start)
		store.Inject(h.faults())
		attempts := h.run(t.Context(), wrap(store))
		time.Sleep(time.Second) // Lets late writes arrive, in virtual time.
		store.Inject(nil)
		wrong = check(start, accepted(t, store), attempts)
	})
	return wrong
}

// replay is the register as the accepted edits make it.
type replay map[string]*schema.VM

// apply carries out an edit and reports whether it changed anything; a VM may
// be removed by two operators.
func (r replay) apply(a attempt) bool {
	vm, _ := a.change.After.(*schema.VM)
	if proto.Equal(r[a.change.Name], vm) {
		return false
	}
	delete(r, a.change.Name)
	if vm != nil {
		r[a.change.Name] = vm
	}
	return true
}

// check replays the accepted edits in order of revision. Each revision must be
// explained by one edit that was reported as accepted, or by one of unknown
// effect.
func check(start, end *schema.Config, attempts []attempt) error {
	byRevision := make(map[uint64][]attempt)
	unknown, missing := 0, 0
	for _, a := range attempts {
		switch a.kind {
		case schema.ErrorKind_ERROR_KIND_UNSPECIFIED:
			byRevision[a.revision] = append(byRevision[a.revision], a)
		case schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT:
			unknown++
		}
	}
	items := make(replay)
	for _, vm := range start.GetVms() {
		items[vm.GetName()] = vm
	}
	for r := start.GetRevision() + 1; r <= end.GetRevision(); r++ {
		explained := 0
		for _, a := range byRevision[r] {
			if items.apply(a) {
				explained++
			}
		}
		delete(byRevision, r)
		if explained > 1 {
			return fmt.Errorf("revision %d was given to %d edits", r, explained)
		}
		missing += 1 - explained
	}
	if len(byRevision) > 0 {
		return fmt.Errorf("accepted edits %v are not in the history of %d revisions", byRevision, end.GetRevision())
	}
	if missing > unknown {
		return fmt.Errorf("%d revisions come from no accepted edit, %d edits are of unknown effect", missing, unknown)
	}
	if missing == 0 {
		return compare(items, end)
	}
	return nil
}

func compare(items replay, end *schema.Config) error {
	want := &schema.Config{}
	for _, vm := range items {
		want.Vms = append(want.Vms, vm)
	}
	register.Sort(want)
	got := &schema.Config{Vms: end.GetVms()}
	if diff := register.Diff(want, got); len(diff) > 0 {
		return fmt.Errorf("replay of the accepted edits differs: %v", diff)
	}
	return nil
}

func asIs(m *objects.Memory) objects.Store { return m }

func TestNoAcceptedEditIsLostAndNoRefusedOneTakesEffect(t *testing.T) {
	for _, patience := range []time.Duration{300 * time.Millisecond, time.Hour} {
		t.Run(patience.String(), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				if err := drawHistory(patience)(rt).judge(t, asIs); err != nil {
					rt.Fatal(err)
				}
			})
		})
	}
}

// blindStore is a store whose writer skips the version check.
type blindStore struct{ *objects.Memory }

func (s blindStore) Put(ctx context.Context, key string, value []byte, expect objects.Version) (objects.Version, error) {
	version, err := s.Memory.Put(ctx, key, value, expect)
	for objects.IsConflict(err) && key == register.HeadKey {
		object, getErr := s.Memory.Get(ctx, key)
		if getErr != nil {
			return 0, getErr
		}
		version, err = s.Memory.Put(ctx, key, value, object.Version)
	}
	return version, err
}

func TestWriterThatSkipsTheVersionCheckIsCaught(t *testing.T) {
	for seed := range uint64(20) {
		h := history{Seed: seed, VMs: 30, Operators: 4, Edits: 6, Patience: time.Hour}
		if h.judge(t, func(m *objects.Memory) objects.Store { return blindStore{m} }) != nil {
			return
		}
	}
	t.Fatal("20 histories without the version check passed")
}
