package register_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/register"
	"github.com/primrosemoor/primrosemoor/schema"
)

func loadExample(t *testing.T) *schema.Config {
	t.Helper()
	c, err := register.Load("../examples/drumlin/register.toml", "../examples/drumlin/rules.toml")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// withState returns the change that sets the state of a VM.
func withState(c *schema.Config, vm int, state schema.VMState) []register.Change {
	want := proto.CloneOf(c)
	want.Vms[vm].State = state
	return register.Diff(c, want)
}

func withLeaving(c *schema.Config, vm int) []register.Change {
	return withState(c, vm, schema.VMState_VM_STATE_LEAVING)
}

func install(t *testing.T, store objects.Store, c *schema.Config) *schema.Config {
	t.Helper()
	if _, err := register.Apply(t.Context(), store, register.Diff(nil, c), "setup"); err != nil {
		t.Fatal(err)
	}
	return accepted(t, store)
}

func accepted(t *testing.T, store objects.Store) *schema.Config {
	t.Helper()
	c, err := register.Read(t.Context(), store)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestAppliedConfigurationIsReadBack(t *testing.T) {
	is := is.New(t)
	store := objects.NewMemory()
	want := loadExample(t)
	got := install(t, store, want)
	is.Equal(got.GetRevision(), uint64(1))
	is.Equal(len(register.Diff(want, got)), 0)
	revision, err := register.Apply(t.Context(), store, register.Diff(nil, want), "again")
	is.NoErr(err)
	is.Equal(revision, uint64(1)) // Applying the same configuration again changes nothing.
}

func TestEditsOfDifferentVMsMerge(t *testing.T) {
	is := is.New(t)
	store := objects.NewMemory()
	base := install(t, store, loadExample(t))
	_, err := register.Apply(t.Context(), store, withLeaving(base, 0), "first")
	is.NoErr(err)
	revision, err := register.Apply(t.Context(), store, withLeaving(base, 1), "second")
	is.NoErr(err)
	is.Equal(revision, uint64(3))
	now := accepted(t, store)
	is.Equal(now.GetVms()[0].GetState(), schema.VMState_VM_STATE_LEAVING)
	is.Equal(now.GetVms()[1].GetState(), schema.VMState_VM_STATE_LEAVING)
}

func TestEditsOfTheSameVMConflictAndNameIt(t *testing.T) {
	is := is.New(t)
	store := objects.NewMemory()
	base := install(t, store, loadExample(t))
	_, err := register.Apply(t.Context(), store, withLeaving(base, 0), "first")
	is.NoErr(err)
	want := proto.CloneOf(base)
	want.Vms = want.Vms[1:]
	_, err = register.Apply(t.Context(), store, register.Diff(base, want), "second")
	is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_CONFLICT)
	is.Equal(fault.From(err).Message, "another edit came first (revision 2): VM herd-01 changed")
	is.Equal(accepted(t, store).GetRevision(), uint64(2))
}

func TestEditThatMakesTheConfigurationInvalidIsRejected(t *testing.T) {
	is := is.New(t)
	store := objects.NewMemory()
	base := install(t, store, loadExample(t))
	want := proto.CloneOf(base)
	want.AvailabilityZones = want.AvailabilityZones[1:]
	_, err := register.Apply(t.Context(), store, register.Diff(base, want), "x")
	is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_BAD_REQUEST)
	is.Equal(accepted(t, store).GetRevision(), uint64(1))
}

// faultyHeadWrites injects f into the first n writes of the head.
func faultyHeadWrites(n int, f objects.Fault) objects.Injector {
	return func(operation objects.Operation, key string) objects.Fault {
		if operation != objects.OperationPut || key != register.HeadKey || n == 0 {
			return objects.Fault{}
		}
		n--
		return f
	}
}

func TestLostAnswerIsResolvedByTheNonce(t *testing.T) {
	faults := map[string]objects.Fault{
		"effect before the loss": {LoseResponse: true},
		"effect after the loss":  {LateEffect: 50 * time.Millisecond},
		"no effect":              {Unavailable: true},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := objects.NewMemory()
				base := install(t, store, loadExample(t))
				store.Inject(faultyHeadWrites(1, f))
				revision, err := register.Apply(t.Context(), store, withLeaving(base, 0), "x")
				is.NoErr(err)
				is.Equal(revision, uint64(2))
				time.Sleep(time.Second) // Lets a late write take effect, in virtual time.
				is.Equal(accepted(t, store).GetRevision(), uint64(2))
			})
		})
	}
}

func TestOutageAfterALostAnswerIsReportedAsUnknown(t *testing.T) {
	tests := map[string]struct {
		first objects.Fault
		kind  schema.ErrorKind
	}{
		"lost":        {objects.Fault{LoseResponse: true}, schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT},
		"unavailable": {objects.Fault{Unavailable: true}, schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := objects.NewMemory()
				base := install(t, store, loadExample(t))
				down := false
				store.Inject(func(operation objects.Operation, key string) objects.Fault {
					if down {
						return objects.Fault{Unavailable: true}
					}
					if operation == objects.OperationPut && key == register.HeadKey {
						down = true
						return test.first
					}
					return objects.Fault{}
				})
				_, err := register.Apply(deadline(t, 5*time.Second), store, withLeaving(base, 0), "x")
				is.Equal(fault.KindOf(err), test.kind)
			})
		})
	}
}

func TestRetiredPartsAreDeleted(t *testing.T) {
	is := is.New(t)
	store := objects.NewMemory()
	c := install(t, store, loadExample(t))
	states := []schema.VMState{schema.VMState_VM_STATE_LEAVING, schema.VMState_VM_STATE_ACTIVE}
	for i := range 200 {
		_, err := register.Apply(t.Context(), store, withState(c, 0, states[i%2]), fmt.Sprint(i))
		is.NoErr(err)
		c = accepted(t, store)
	}
	objects, err := store.List(t.Context(), "config/part/")
	is.NoErr(err)
	is.True(len(objects) <= 30) // 24 retired parts and those in use.
}
