package resume

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/clock"
)

var (
	v1 = Origin{"llm", "v1"}
	v2 = Origin{"llm", "v2"}
)

func second(s float64) clock.Instant {
	return clock.Instant(time.Hour).Add(time.Duration(s * float64(time.Second)))
}

// chat is a route that leads to services.
func chat(services ...string) []*catalog.Route {
	r := &catalog.Route{Name: "chat", Kind: catalog.Streaming, Resume: true, Timeout: 15 * time.Second}
	for _, s := range services {
		r.Shares = append(r.Shares, catalog.WeightedService{Service: s, Weight: 1})
	}
	return []*catalog.Route{r}
}

// serving returns a target of each origin.
func serving(origins ...Origin) (targets []*catalog.Target) {
	for i, o := range origins {
		targets = append(targets, &catalog.Target{ID: fmt.Sprint("i-", i), Service: o.Service, Version: o.Version})
	}
	return targets
}

func began(id ID, o Origin, at clock.Instant) entry {
	return entry{Record: Record{id, o}, own: true, at: at}
}

func TestNothingIsPassedOnWhileStreamsHaveOnePossibleOrigin(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(func() {})
	is.True(!r.update(chat("llm"), serving(v1, v1), second(0)))
	for i := range 100 {
		is.True(!r.record(began(ID(i), v1, second(1))))
	}
	records, version := r.Since(0, false)
	is.Equal(len(records), 0)
	is.Equal(version, uint64(0))
	o, ok := r.Lookup(7)
	is.True(ok)
	is.Equal(o, v1)
}

func TestStreamsThatBeganBeforeAnotherVersionJoinedArePassedOnThen(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(func() {})
	r.update(chat("llm"), serving(v1), second(0))
	r.record(began(1, v1, second(1)))
	is.True(r.update(chat("llm"), serving(v1, v2), second(2)))
	is.True(r.record(began(2, v2, second(3))))
	records, version := r.Since(0, true)
	is.Equal(records, []Record{{1, v1}, {2, v2}})
	is.True(!r.record(began(2, v2, second(4)))) // It is known.
	records, _ = r.Since(version, true)
	is.Equal(len(records), 0)
}

func TestVersionThatHasLeftStaysPossibleForTheRetention(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(func() {})
	r.update(chat("llm"), serving(v1, v2), second(0))
	r.update(chat("llm"), serving(v2), second(10))
	is.Equal(len(r.origins("chat")), 2)
	r.update(chat("llm"), serving(v2), second(39))
	is.Equal(len(r.origins("chat")), 2)
	r.update(chat("llm"), serving(v2), second(41))
	is.Equal(r.origins("chat"), []Origin{v2})
}

func TestStreamsOfARouteOfTwoServicesArePassedOn(t *testing.T) {
	is := is.New(t)
	other := Origin{"other", "v1"}
	for _, routes := range [][][]*catalog.Route{
		{chat("llm", "other")},       // It is split.
		{chat("llm"), chat("other")}, // It is moved.
	} {
		r := NewRegistry(func() {})
		for i, list := range routes {
			r.update(list, serving(v1, other), second(float64(i)))
		}
		is.True(r.record(began(1, other, second(2))))
	}
}

func TestRecordsAreKeptForTheRetentionAndNoLongerThanTwice(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(func() {})
	r.update(chat("llm"), serving(v1, v2), second(0))
	r.record(began(1, v1, second(0)))
	for s := 1; s <= 29; s++ {
		r.record(began(ID(100+s), v2, second(float64(s))))
	}
	_, ok := r.Lookup(1)
	is.True(ok)
	r.record(began(2, v2, second(31)))
	_, ok = r.Lookup(1)
	is.True(ok)
	r.record(began(3, v2, second(62)))
	_, ok = r.Lookup(1)
	is.True(!ok)
	records, _ := r.Since(0, true)
	is.Equal(records, []Record{{3, v2}})
}

func TestLongerTimeoutsOfRoutesExtendTheRetention(t *testing.T) {
	is := is.New(t)
	for timeout, want := range map[time.Duration]time.Duration{time.Second: 30 * time.Second, time.Minute: 2 * time.Minute, time.Hour: 5 * time.Minute} {
		r := NewRegistry(func() {})
		routes := chat("llm")
		routes[0].Timeout = timeout
		r.update(routes, nil, second(0))
		is.Equal(r.retention, want)
	}
}

func TestRecordsOfANodeOfTheZoneArePassedOnToOtherZonesOnly(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(func() {})
	r.update(chat("llm"), serving(v1, v2), second(0))
	is.True(r.apply([]Record{{1, v1}}, true, second(1)))
	is.True(!r.apply([]Record{{2, v2}}, false, second(1)))
	own, _ := r.Since(0, true)
	is.Equal(len(own), 0)
	zone, _ := r.Since(0, false)
	is.Equal(zone, []Record{{1, v1}})
	o, ok := r.Lookup(2)
	is.True(ok)
	is.Equal(o, v2)
}

// However many streams begin within the retention, memory is bounded.
func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	r := NewRegistry(func() {})
	r.update(chat("llm"), serving(v1, v2), second(0))
	for i := range 5 * maxRecords {
		r.record(began(ID(i), v1, second(1)))
	}
	is.True(len(r.known.current)+len(r.known.previous) <= 2*maxRecords)
	is.True(len(r.shared.entries) <= maxRecords)
	records, version := r.Since(0, true)
	is.Equal(len(records), maxRecords)
	is.Equal(version, uint64(5*maxRecords))
}
