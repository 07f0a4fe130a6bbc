package links

import (
	"context"
	"fmt"
	"slices"
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

// serviceCut is which services' targets a node does not reach, and what it was told to have
// lost.
type serviceCut struct {
	mu        sync.Mutex
	cut, lost []string
}

func (c *serviceCut) set(services ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = services
}

func (c *serviceCut) recordLost(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = append(c.lost, service)
}

// serviceOf returns the service of a target.
func serviceOf(target string) string {
	name, _, _ := strings.Cut(target, "-")
	return name
}

func (c *serviceCut) connect(_ context.Context, to upstream.Address) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if service := serviceOf(to.ID); service == "gone" || slices.Contains(c.cut, service) {
		return errRefused
	}
	return nil
}

// monitored runs a test in virtual time with monitors of two services, of which "app" has
// the given number of targets and "llm" twelve.
func (c *serviceCut) monitored(t *testing.T, apps int, test func(*testing.T, *Monitors)) {
	c.monitoredWith(t, apps, 0, test)
}

// monitoredWith does the same with targets of "app" that have left besides, which refuse
// connections.
func (c *serviceCut) monitoredWith(t *testing.T, apps, gone int, test func(*testing.T, *Monitors)) {
	synctest.Test(t, func(t *testing.T) {
		var targets []*catalog.Target
		for i := range apps {
			targets = append(targets, &catalog.Target{ID: fmt.Sprint("app-", i), Service: "app"})
		}
		for i := range gone {
			targets = append(targets, &catalog.Target{ID: fmt.Sprint("gone-", i), Service: "app", Draining: true})
		}
		for i := range 12 {
			targets = append(targets, &catalog.Target{ID: fmt.Sprint("llm-", i), Service: "llm"})
		}
		s := NewMonitors(MonitorsOptions{
			Targets: func() []*catalog.Target { return targets }, Service: serviceOf, Connect: c.connect,
			OnLost: c.recordLost, Logger: logging.Discard(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { s.Run(ctx) })
		test(t, s)
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
		{"one target only, which may be its own fault", 1, []string{"app"}, nil, true, true, true},
		{"one target only, and all", 1, []string{"app", "llm"}, []string{"app", "llm"}, false, false, false},
		{"none", 3, nil, nil, true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			services := &serviceCut{cut: c.cut}
			services.monitored(t, c.apps, func(t *testing.T, s *Monitors) {
				is := is.New(t)
				s.Of("app-0").Suspect()
				time.Sleep(time.Second)
				s.Of("llm-0").Suspect()
				time.Sleep(time.Second)
				synctest.Wait()
				is.Equal(services.lost, c.lost)
				is.Equal(s.LinkedTo("app-0"), c.app)
				is.Equal(s.LinkedTo("llm-5"), c.llm)
				is.Equal(s.Linked(), c.linked)
				is.Equal(s.Verify(t.Context()), c.linked)
			})
		})
	}
}

func TestLinksToAServiceAreRegainedByThemselves(t *testing.T) {
	services := &serviceCut{cut: []string{"app"}}
	services.monitored(t, 3, func(t *testing.T, s *Monitors) {
		is := is.New(t)
		is.True(!s.Of("app-0").Verify(t.Context()))
		services.set()
		time.Sleep(probeInterval + 50*time.Millisecond)
		synctest.Wait()
		is.True(s.LinkedTo("app-0"))
	})
}

// Targets that have left stay listed as draining for a while, and refuse connections.
func TestTargetsThatHaveLeftDoNotMakeTheLinksToAServiceLost(t *testing.T) {
	for _, c := range []struct {
		name       string
		apps, gone int
		cut        []string
	}{
		{"one stays and works", 1, 12, nil},
		{"one stays and fails, which may be its own fault", 1, 2, []string{"app"}},
		{"none stays", 0, 6, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			services := &serviceCut{cut: c.cut}
			services.monitoredWith(t, c.apps, c.gone, func(t *testing.T, s *Monitors) {
				is := is.New(t)
				for range 20 {
					s.Of("app-0").Suspect()
					time.Sleep(suspectInterval)
				}
				synctest.Wait()
				is.Equal(len(services.lost), 0)
				is.True(s.LinkedTo("app-0"))
			})
		})
	}
}

// A sample of all services may hold none of the few that a node reaches.
func TestNodeThatReachesOneOfManyServicesHasLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		services := &serviceCut{}
		var targets []*catalog.Target
		for service := range 9 {
			for i := range 2 {
				name := fmt.Sprint("s", service)
				targets = append(targets, &catalog.Target{ID: fmt.Sprint(name, "-", i), Service: name})
			}
		}
		s := NewMonitors(MonitorsOptions{
			Targets: func() []*catalog.Target { return targets }, Service: serviceOf, Connect: services.connect,
			OnLost: services.recordLost, Logger: logging.Discard(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { s.Run(ctx) })
		services.set("s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8")
		for service := range 9 {
			s.Of(fmt.Sprintf("s%d-0", service)).Suspect()
		}
		time.Sleep(2 * time.Second)
		for range 50 {
			is.True(s.Verify(t.Context()))
			is.True(s.Linked())
			time.Sleep(100 * time.Millisecond)
		}
		services.set("s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8")
		s.Of("s0-0").Suspect()
		time.Sleep(time.Second)
		is.True(!s.Verify(t.Context()))
		services.set("s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7")
		time.Sleep(4 * probeInterval)
		is.True(s.Verify(t.Context()))
		cancel()
		running.Wait()
	})
}
