package register_test

import (
	"context"
	"fmt"
	"maps"
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

// history describes one run of several operators that edit concurrently through
// a faulty store.
type history struct {
	Seed      uint64
	VMs       int
	Operators int
	Edits     int
	// FaultRate is the fraction of calls that fail.
	FaultRate float64
	// ApplyTimeout bounds each call of Apply.
	ApplyTimeout time.Duration
}

func drawHistory(applyTimeout time.Duration) func(*rapid.T) history {
	return func(t *rapid.T) history {
		return history{
			Seed:         rapid.Uint64().Draw(t, "seed"),
			VMs:          rapid.IntRange(1, 60).Draw(t, "vms"),
			Operators:    rapid.IntRange(2, 4).Draw(t, "operators"),
			Edits:        rapid.IntRange(1, 6).Draw(t, "edits"),
			FaultRate:    rapid.Float64Range(0, 0.4).Draw(t, "faults"),
			ApplyTimeout: applyTimeout,
		}
	}
}

// attempt is one edit and the result of Apply.
type attempt struct {
	change   register.Change
	revision uint64
	kind     schema.ErrorKind
}

// run makes the operators edit concurrently and returns all attempts.
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
				sleep(ctx, time.Duration(random.IntN(100))*time.Millisecond)
				change := randomChange(base, random, fmt.Sprintf("%d-%d", operator, edit))
				timeoutCtx, cancel := context.WithTimeout(ctx, h.ApplyTimeout)
				revision, err := register.Apply(timeoutCtx, store, []register.Change{change}, fmt.Sprint(operator))
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

// randomChange edits, removes or adds a VM. Edits and additions are unique by
// their tag.
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

// faults returns an injector that delays every call and makes a fraction
// FaultRate of them fail.
func (h history) faults() objects.Injector {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(h.Seed, 99))
	return func(objects.Operation, string) objects.Fault {
		mu.Lock()
		defer mu.Unlock()
		f := objects.Fault{Delay: time.Duration(random.IntN(5)) * time.Millisecond}
		if random.Float64() >= h.FaultRate {
			return f
		}
		switch random.IntN(4) {
		case 0:
			f.LoseResponse = true
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

// verify runs the history in virtual time and returns an error if its outcome is
// inconsistent. wrap may replace the store that the operators use.
func (h history) verify(t *testing.T, wrap func(*objects.Memory) objects.Store) (violation error) {
	synctest.Test(t, func(t *testing.T) {
		store := objects.NewMemory()
		start := loadExample(t)
		start.Vms = nil
		for i := range h.VMs {
			start.Vms = append(start.Vms, bareVM(fmt.Sprintf("vm-%02d", i)))
		}
		start = install(t, store, start)
		store.Inject(h.faults())
		attempts := h.run(t.Context(), wrap(store))
		time.Sleep(time.Second) // Lets late writes take effect, in virtual time.
		store.Inject(nil)
		violation = checkHistory(start, accepted(t, store), attempts)
	})
	return violation
}

// replayedVMs holds the VMs that result from replaying the accepted edits.
type replayedVMs map[string]*schema.VM

// apply applies an edit and reports whether it changed anything. An edit may
// change nothing because two operators can remove the same VM.
func (r replayedVMs) apply(a attempt) bool {
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

// checkHistory replays the history in order of revision, and returns an error unless each
// revision results from one edit that was reported as accepted, or from one of unknown
// effect, each of which took effect once at the most, and the last one is the end.
func checkHistory(start, end *schema.Config, attempts []attempt) error {
	h := historyCheck{accepted: make(map[uint64][]attempt), end: end}
	for _, a := range attempts {
		switch a.kind {
		case schema.ErrorKind_ERROR_KIND_UNSPECIFIED:
			if a.revision > end.GetRevision() {
				return fmt.Errorf("accepted edit %v is not in the history of %d revisions", a, end.GetRevision())
			}
			h.accepted[a.revision] = append(h.accepted[a.revision], a)
		case schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT:
			h.unknown = append(h.unknown, a)
		}
	}
	replayed := make(replayedVMs)
	for _, vm := range start.GetVms() {
		replayed[vm.GetName()] = vm
	}
	h.used = make([]bool, len(h.unknown))
	return h.replay(start.GetRevision()+1, replayed)
}

// historyCheck searches for a way in which the edits explain the revisions. An edit of
// unknown effect may be behind any revision that no accepted edit explains, and what it
// changed decides whether a later edit changed anything.
type historyCheck struct {
	accepted map[uint64][]attempt
	unknown  []attempt
	used     []bool
	end      *schema.Config
}

// replay explains the revisions from r on.
func (h *historyCheck) replay(r uint64, vms replayedVMs) error {
	if r > h.end.GetRevision() {
		return compareWithReplay(vms, h.end)
	}
	next := maps.Clone(vms)
	explained := 0
	for _, a := range h.accepted[r] {
		if next.apply(a) {
			explained++
		}
	}
	switch {
	case explained == 1:
		return h.replay(r+1, next)
	case explained > 1:
		return fmt.Errorf("revision %d was assigned to %d edits", r, explained)
	}
	err := fmt.Errorf("revision %d comes from no accepted edit and from none of %d of unknown effect", r, len(h.unknown))
	for i, a := range h.unknown {
		next := maps.Clone(vms)
		if h.used[i] || !next.apply(a) {
			continue
		}
		h.used[i] = true
		if err = h.replay(r+1, next); err == nil {
			return nil
		}
		h.used[i] = false
	}
	return err
}

func compareWithReplay(replayed replayedVMs, end *schema.Config) error {
	want := &schema.Config{}
	for _, vm := range replayed {
		want.Vms = append(want.Vms, vm)
	}
	register.Sort(want)
	got := &schema.Config{Vms: end.GetVms()}
	if diff := register.Diff(want, got); len(diff) > 0 {
		return fmt.Errorf("replay of the edits differs: %v", diff)
	}
	return nil
}

func unwrapped(m *objects.Memory) objects.Store { return m }

func TestNoAcceptedEditIsLostAndNoRejectedOneTakesEffect(t *testing.T) {
	for _, applyTimeout := range []time.Duration{300 * time.Millisecond, time.Hour} {
		t.Run(applyTimeout.String(), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				if err := drawHistory(applyTimeout)(rt).verify(t, unwrapped); err != nil {
					rt.Fatal(err)
				}
			})
		})
	}
}

// unversionedStore is a store whose writes of the head skip the version check.
type unversionedStore struct{ *objects.Memory }

func (s unversionedStore) Put(ctx context.Context, key string, value []byte, expect objects.Version) (objects.Version, error) {
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

func TestHistoryCheckDetectsAWriterThatSkipsTheVersionCheck(t *testing.T) {
	for seed := range uint64(20) {
		h := history{Seed: seed, VMs: 30, Operators: 4, Edits: 6, ApplyTimeout: time.Hour}
		if h.verify(t, func(m *objects.Memory) objects.Store { return unversionedStore{m} }) != nil {
			return
		}
	}
	t.Fatal("20 histories without the version check passed")
}

// An edit whose answer was lost may have added a VM that an accepted edit removes.
func TestHistoryCheckFollowsEditsOfUnknownEffect(t *testing.T) {
	added, other := bareVM("new"), bareVM("other")
	edit := func(revision uint64, kind schema.ErrorKind, name string, before, after *schema.VM) attempt {
		c := register.Change{Name: name}
		if before != nil {
			c.Before = before
		}
		if after != nil {
			c.After = after
		}
		return attempt{c, revision, kind}
	}
	const accepted, unknown, refused = schema.ErrorKind_ERROR_KIND_UNSPECIFIED, schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT, schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE
	add := edit(0, unknown, "new", nil, added)
	remove := edit(3, accepted, "new", added, nil)
	for _, c := range []struct {
		name     string
		attempts []attempt
		end      *schema.Config
		valid    bool
	}{
		{"added and removed", []attempt{add, remove}, &schema.Config{Revision: 3}, true},
		{"added by an edit that was refused", []attempt{edit(0, refused, "new", nil, added), remove}, &schema.Config{Revision: 3}, false},
		{"took effect twice", []attempt{add}, &schema.Config{Revision: 3, Vms: []*schema.VM{added}}, false},
		{"accepted and lost", []attempt{edit(2, accepted, "other", nil, other), remove, add}, &schema.Config{Revision: 3}, false},
		{"accepted beyond the end", []attempt{remove}, &schema.Config{Revision: 1}, false},
		{"no effect", []attempt{add}, &schema.Config{Revision: 1}, true},
		{"other result", []attempt{add}, &schema.Config{Revision: 2, Vms: []*schema.VM{other}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := checkHistory(&schema.Config{Revision: 1}, c.end, c.attempts)
			if (err == nil) != c.valid {
				t.Fatal(err)
			}
		})
	}
}

// The history of a run that a check without the above took for inconsistent.
func TestHistoryInWhichAnAddedVMIsRemovedIsConsistent(t *testing.T) {
	h := history{Seed: 4, VMs: 11, Operators: 4, Edits: 4, FaultRate: 0.4, ApplyTimeout: 300 * time.Millisecond}
	for range 20 { // The order of goroutines differs.
		if err := h.verify(t, unwrapped); err != nil {
			t.Fatal(err)
		}
	}
}
