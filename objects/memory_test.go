package objects_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/objects"
)

func TestMemoryWritesOnlyOnTheExpectedVersion(t *testing.T) {
	is := is.New(t)
	m := objects.NewMemory()
	v1, err := m.Put(t.Context(), "a", []byte("1"), 0)
	is.NoErr(err)
	_, err = m.Put(t.Context(), "a", []byte("2"), 0)
	is.True(objects.IsConflict(err))
	_, err = m.Put(t.Context(), "a", []byte("2"), v1)
	is.NoErr(err)
	is.True(objects.IsConflict(m.Delete(t.Context(), "a", v1)))
	o, err := m.Get(t.Context(), "a")
	is.NoErr(err)
	is.Equal(string(o.Value), "2")
	is.NoErr(m.Delete(t.Context(), "a", o.Version))
	_, err = m.Get(t.Context(), "a")
	is.True(objects.IsNotFound(err))
}

func TestMemoryWatchReturnsChangesAfterTheCursor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := objects.NewMemory()
		v, err := m.Put(t.Context(), "p/a", []byte("1"), 0)
		is.NoErr(err)
		first, err := m.Watch(t.Context(), "p/", 0, time.Second)
		is.NoErr(err)
		is.Equal(len(first.Objects), 1)
		time.AfterFunc(time.Second, func() { _ = m.Delete(context.Background(), "p/a", v) })
		start := time.Now()
		second, err := m.Watch(t.Context(), "p/", first.Cursor, time.Minute)
		is.NoErr(err)
		is.Equal(time.Since(start), time.Second)
		is.Equal(second.Objects[0].Version, objects.Version(0))
		third, err := m.Watch(t.Context(), "p/", second.Cursor, time.Minute)
		is.NoErr(err)
		is.Equal(len(third.Objects), 0)
	})
}

// appendNonce returns a change that appends nonce, one letter, to the object.
func appendNonce(nonce string) objects.Change {
	return objects.Change{
		Key:        "k",
		Mutate:     func(o objects.Object) ([]byte, error) { return append(o.Value, nonce...), nil },
		IsOwnWrite: func(stored []byte) bool { return len(stored) > 0 && string(stored[len(stored)-1:]) == nonce },
	}
}

func TestUpdateReadsBackAfterALostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := objects.NewMemory()
		lose := true
		m.Inject(func(operation objects.Operation, _ string) objects.Fault {
			f := objects.Fault{LoseResponse: operation == objects.OperationPut && lose}
			lose = lose && operation != objects.OperationPut
			return f
		})
		o, err := objects.Update(t.Context(), m, appendNonce("x"))
		is.NoErr(err)
		is.Equal(string(o.Value), "x")
		is.Equal(m.Calls(objects.OperationPut), uint64(1))
	})
}

func TestUpdateAppliesAWriteWithALateEffectOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := objects.NewMemory()
		late := true
		m.Inject(func(operation objects.Operation, _ string) objects.Fault {
			if operation != objects.OperationPut || !late {
				return objects.Fault{}
			}
			late = false
			return objects.Fault{LateEffect: time.Second}
		})
		_, err := objects.Update(t.Context(), m, appendNonce("x"))
		is.NoErr(err)
		time.Sleep(time.Minute)
		o, err := m.Get(t.Context(), "k")
		is.NoErr(err)
		is.Equal(string(o.Value), "x")
	})
}

func TestUpdateRetriesUntilAnOutageEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := objects.NewMemory()
		outageEnd := time.Now().Add(time.Minute)
		m.Inject(func(objects.Operation, string) objects.Fault {
			return objects.Fault{Unavailable: time.Now().Before(outageEnd)}
		})
		_, err := objects.Update(t.Context(), m, appendNonce("x"))
		is.NoErr(err)
		is.True(time.Now().After(outageEnd))
	})
}
