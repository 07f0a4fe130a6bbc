package entrytest

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/standin/worker"
)

// brittleLimit is how many requests a brittle worker of these tests may turn away in a
// second.
const brittleLimit = 2

// startZones starts nodes in zones of regions of their own, as many as are given.
func (env *testEnv) startZones(counts ...int) []*node {
	env.t.Helper()
	var nodes []*node
	for zone, count := range counts {
		for range count {
			s := env.settings(len(nodes) + 1)
			s.Zones = nil
			for i := range counts {
				s.Zones = append(s.Zones, &schema.GatewayZone{Name: string(rune('a' + i)), Region: string(rune('r' + i))})
			}
			s.Node.AvailabilityZone, s.Node.Region = s.Zones[zone].Name, s.Zones[zone].Region
			nodes = append(nodes, env.startNodeWith(len(nodes)+1, s))
		}
	}
	for _, n := range nodes {
		env.waitReady(n)
	}
	return nodes
}

// overload sends requests to all nodes at a fixed rate, whatever becomes of them, and
// returns how many were served.
func overload(nodes []*node, route, phase string, perSecond int, lasts time.Duration) (sent, served int) {
	var running sync.WaitGroup
	var mu sync.Mutex
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	defer client.CloseIdleConnections()
	interval := time.Second / time.Duration(perSecond)
	for began := time.Now(); time.Since(began) < lasts; sent++ {
		time.Sleep(time.Until(began.Add(time.Duration(sent) * interval)))
		n, id := nodes[sent%len(nodes)], fmt.Sprint(phase, "-", sent)
		running.Go(func() {
			if got := n.postWith(client, route, id); got.err == nil && got.status == 200 {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
	}
	running.Wait()
	return sent, served
}

// More requests than the workers have slots for come at nodes of three zones, which learn
// of each other's requests late.
func TestBrittleWorkersDoNotFallOverUnderOverload(t *testing.T) {
	for _, c := range []struct {
		route, service string
		events         int
		serviceTime    time.Duration
		perSecond      int
	}{
		{"look", "app", 0, 60 * time.Millisecond, 600},
		{"chat", "llm", 6, 25 * time.Millisecond, 300},
	} {
		t.Run(c.service, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(t)
			env.waitForLoad()
			var workers []*worker.Worker
			for i := range 6 {
				w := &worker.Worker{ID: fmt.Sprint("i-", i), Service: c.service, Events: c.events, ServiceTime: c.serviceTime, Slots: 4}
				w.SetFaults(worker.Faults{Brittle: brittleLimit, Downtime: 2 * time.Second})
				workers = append(workers, env.startWorkerIn(w, string(rune('a'+i%3))))
			}
			nodes := env.startZones(3, 1, 1)
			overload(nodes, c.route, "before", 50, adaptTime)
			stated := time.Now()
			sent, served := overload(nodes, c.route, "over", c.perSecond, 6*time.Second)
			falls, rejected := 0, 0
			for _, w := range workers {
				for _, at := range w.Crashes() {
					if at.After(stated) {
						falls++
					}
				}
				for _, a := range w.Arrivals() {
					if a.Refused {
						rejected++
					}
				}
			}
			t.Logf("sent %d, served %d, rejected by workers %d, falls %d", sent, served, rejected, falls)
			is.True(falls <= 2+len(workers)/10)
			is.True(served > sent/3) // About half can be served.
		})
	}
}
