package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/primrosemoor/primrosemoor/catalog"
)

// zonedPool returns a pool with a target in each of some zones, of all zones.
func zonedPool(zones int, targetZones []int, slots int) (*pool, location) {
	here := location{regions: make(map[string]string)}
	for z := range zones {
		here.regions[fmt.Sprint("z", z)] = "r"
	}
	p := &pool{targets: make(map[string]*target)}
	for i, z := range targetZones {
		id := fmt.Sprint("i-", i)
		p.targets[id] = &target{Target: &catalog.Target{ID: id, Zone: fmt.Sprint("z", z), Slots: slots}, remote: make(map[string]remoteLoad)}
	}
	return p, here
}

// Whatever the zones see of each other's requests, they never send a brittle target more
// than it has slots, and each zone may use some.
func TestZonesTogetherUseNoMoreSlotsOfABrittleTargetThanItHas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 13).Draw(t, "zones")
		slots := rapid.IntRange(1, 32).Draw(t, "slots")
		targets := rapid.SliceOfN(rapid.IntRange(0, zones-1), 1, 20).Draw(t, "targets")
		p, here := zonedPool(zones, targets, slots)
		division := p.divideSlots(here)
		usable := make(map[string]int)
		for _, target := range p.targets {
			sum := 0
			for zone := range here.regions {
				n := division.of(zone, target.Zone, slots)
				if n < 0 {
					t.Fatalf("zone %s may use %d slots", zone, n)
				}
				usable[zone] += n
				sum += n
			}
			if sum > slots {
				t.Fatalf("%d slots of %d may be used", sum, slots)
			}
			if division.of(target.Zone, target.Zone, slots) == 0 {
				t.Fatalf("the zone of %s may use none of its slots", target.ID)
			}
		}
		for zone := range here.regions {
			if usable[zone] == 0 && slots > zones {
				t.Fatalf("zone %s may use no slot", zone)
			}
		}
	})
}

func TestSlotsOfABrittleTargetThatOtherZonesMayUseStayFree(t *testing.T) {
	is := is.New(t)
	p := newTestPool(3*time.Millisecond, 3*time.Millisecond)
	delete(p.targets, "B")
	for i := range 9 {
		p.enqueue(p.work(fmt.Sprint("r", i), 0, nil))
	}
	p.targets["A"].brittle.statedAt = p.now
	is.Equal(len(p.assignNow()), 4) // Half of 8 slots are for the other zone, which has no target.
	p.targets["A"].brittle.statedAt = time.Time{}
	is.Equal(len(p.assignNow()), 4)
}

func TestBrittleTargetOfAnotherZoneGetsFewRequests(t *testing.T) {
	is := is.New(t)
	p := newTestPool(3*time.Millisecond, 3*time.Millisecond)
	p.targets["B"].Zone = "b"
	p.setFreeSlots("A", 0)
	p.targets["A"].remote["b"] = remoteLoad{brittle: true} // Heard of from the other zone.
	p.now = p.now.Add(time.Second)
	for i := range 9 {
		p.enqueue(p.work(fmt.Sprint("r", i), 0, nil))
	}
	is.Equal(len(p.assignNow()), 3)
}

func TestBrittleTargetThatTurnedARequestAwayGetsNoneForATime(t *testing.T) {
	is := is.New(t)
	p := newTestPool(3*time.Millisecond, 3*time.Millisecond)
	a := p.targets["A"]
	a.brittle.recordRejection(p.now)
	p.enqueue(p.work("r", 0, func(w *Work) { w.Tried = []string{"B"} }))
	a.brittle.statedAt = p.now
	is.Equal(len(p.assignNow()), 0)
	p.now = p.now.Add(rejectionPause + rejectionJitter)
	is.Equal(p.assignNow(), []string{"r>A"})
	a.brittle.statedAt = time.Time{}
	a.brittle.recordRejection(p.now)
	p.enqueue(p.work("r2", 0, func(w *Work) { w.Tried = []string{"B"} }))
	is.Equal(p.assignNow(), []string{"r2>A"}) // One that is not brittle is asked again.
}

func TestBrittleTargetIsNoLongerSoOnceItHasNotSaidSoForLong(t *testing.T) {
	is := is.New(t)
	p := newTestPool(3 * time.Millisecond)
	p.targets["A"].brittle.statedAt = p.now
	is.True(p.isBrittle(p.now.Add(brittleLifetime)))
	is.True(!p.isBrittle(p.now.Add(brittleLifetime + time.Millisecond)))
}
