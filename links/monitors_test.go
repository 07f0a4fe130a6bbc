package links

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// monitoredServices runs a test in virtual time with monitors of two services, of which "app"
// has the given number of targets and "llm" twelve. Those of the services that cut lists are
// not reached.
func monitoredServices(t *testing.T, apps int, cut *[]string, test func(*testing.T, *Monitors, *[]string)) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var targets []*catalog.Target
		for i := range apps {
			targets = append(targets, &catalog.Target{ID: fmt.Sprint("app-", i), Service: "app"})
		}
		for i := range 12 {
			targets = append(targets, &catalog.Target{ID: fmt.Sprint("llm-", i), Service: "llm"})
		}
		service := func(target string) string { name, _, _ := strings.Cut(target, "-"); return name }
		lost := []string{}
		s := NewMonitors(MonitorsOptions{
			Targets: func() []*catalog.Target { return targets }, Service: service, Logger: logging.Discard(),
			Connect: func(_ context.Context, to upstream.Address) error {
				mu.Lock()
				defer mu.Unlock()
				for _, name := range *cut {
					if name == service(to.ID) {
						return errRefused
					}
				}
				return nil
			},
			OnLost: func(service string) {
				mu.Lock()
				defer mu.Unlock()
				lost = append(lost, service)
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { s.Run(ctx) })
		test(t, s, &lost)
		cancel()
		running.Wait()
	})
}

func TestLinksToOneServiceAreLostWhileThoseToAnotherWork(t *testing.T) {
	for _, c := range []struct {
		name             string
		apps             int
		cut, lost        []string
		app, llm, linked bool
	}{
		{"one service", 3, []string{"app"}, []string{"app"}, false, true, true},
		{"the other one", 3, []string{"llm"}, []string{"llm"}, true, false, true},
		{"all", 3, []string{"app", "llm"}, []string{"app", "llm"}, false, false, false},
		{"one target only, which may be its own fault", 1, []string{"app"}, []string{}, true, true, true},
		{"one target only, and all", 1, []string{"app", "llm"}, []string{"app", "llm"}, false, false, false},
		{"none", 3, nil, []string{}, true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			monitoredServices(t, c.apps, &c.cut, func(t *testing.T, s *Monitors, lost *[]string) {
				is := is.New(t)
				s.Of("app-0").Suspect()
				time.Sleep(time.Second)
				s.Of("llm-0").Suspect()
				time.Sleep(time.Second)
				synctest.Wait()
				is.Equal(*lost, c.lost)
				is.Equal(s.LinkedTo("app-0"), c.app)
				is.Equal(s.LinkedTo("llm-5"), c.llm)
				is.Equal(s.Linked(), c.linked)
				is.Equal(s.Verify(t.Context()), c.linked)
			})
		})
	}
}

func TestLinksToAServiceAreRegainedByThemselves(t *testing.T) {
	cut := []string{"app"}
	monitoredServices(t, 3, &cut, func(t *testing.T, s *Monitors, _ *[]string) {
		is := is.New(t)
		is.True(!s.Of("app-0").Verify(t.Context()))
		cut = nil
		time.Sleep(probeInterval + 50*time.Millisecond)
		synctest.Wait()
		is.True(s.LinkedTo("app-0"))
	})
}
