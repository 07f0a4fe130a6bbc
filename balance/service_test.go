package balance_test

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/catalog"
)

// An entry of another writer may name another service with each change.
func TestServicesThatAreNotConfiguredLeaveNothingBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m, load := start(t)
		grant, err := m.Acquire(t.Context(), work())
		is.NoErr(err)
		sound := &catalog.Target{ID: "i-1", Service: "s", Zone: "a", Slots: 2}
		services := map[string]*catalog.Service{"s": {Name: "s"}, "idle": {Name: "idle"}}
		for i := range 100 {
			odd := &catalog.Target{ID: "i-odd", Service: fmt.Sprint("odd-", i), Zone: "a", Slots: 1 << 16}
			m.ApplyTargets([]*catalog.Target{sound, odd}, services)
		}
		names := make(map[string]bool)
		for _, s := range m.Status(t.Context()) {
			names[s.Service] = true
		}
		is.Equal(names, map[string]bool{"s": true, "odd-99": true})
		m.ApplyTargets(nil, nil) // The service is no longer configured while a request runs.
		is.Equal(len(m.Status(t.Context())), 0)
		grant.Done(balance.Answered)
		m.ApplyTargets([]*catalog.Target{sound}, services)
		_, err = m.Acquire(t.Context(), work())
		is.NoErr(err)
		is.Equal(load().Requests, 1)
	})
}
