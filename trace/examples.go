package trace

import (
	"time"
)

// exampleSeed is the seed of the example traces.
const exampleSeed = 20261204

// Example is a trace that the generator makes.
type Example struct {
	// Name is the file's name under examples/traces without ".jsonl".
	Name  string
	Trace *Trace
}

// Examples returns the four traces under examples/traces.
func Examples() []Example {
	return []Example{
		example("drumlin-spring-weekend", "Guests come in a burst of ten times the rate when the spring weekend opens.",
			Drumlin(), Options{Rate: 12, Duration: 30 * time.Second,
				Bursts: []Burst{{At: 10 * time.Second, For: 5 * time.Second, Factor: 10, Teams: []string{"guests", "bookings"}}}},
			nil, 0.99),
		example("drumlin-hot-cupboard", "The cupboard overheats: VMs are pulled from the register under load and one comes back.",
			Drumlin(), Options{Rate: 20, Duration: 30 * time.Second},
			[]Action{setState(8, DoSetLeaving, "herd-02"), setState(10, DoSetLeaving, "herd-03"),
				setState(12, DoSetLeaving, "paddock-1"), setState(22, DoSetActive, "herd-02")}, 0.99),
		example("kowhai-packing-day", "The shed asks for labels all at once while subscribers chat.",
			Kowhai(), Options{Rate: 12, Duration: 30 * time.Second,
				Bursts: []Burst{{At: 8 * time.Second, For: 10 * time.Second, Factor: 8, Teams: []string{"packing-shed", "tasting-notes"}}}},
			nil, 0.99),
		example("kowhai-courier-day-outage", "The platform's store is down for ten seconds while couriers look up and dispatch orders.",
			Kowhai(), Options{Rate: 15, Duration: 30 * time.Second,
				Bursts: []Burst{{At: 5 * time.Second, For: 20 * time.Second, Factor: 3, Teams: []string{"courier-desk"}}}},
			[]Action{{Kind: KindAction, At: 10_000, Do: DoStoreDown}, {Kind: KindAction, At: 20_000, Do: DoStoreHealed}}, 0),
	}
}

func setState(second int64, do Do, vm string) Action {
	return Action{Kind: KindAction, At: second * 1000, Do: do, VM: vm}
}

// example joins a load and its outcomes. useful is the share of interactive
// requests that must be answered in time; 0 says that the platform's store is
// down between the two actions.
func example(name, description string, profile Profile, options Options, actions []Action, useful float64) Example {
	options.Seed = exampleSeed
	options.PrefixReuse = -1
	t := &Trace{
		Header:   Header{Kind: KindTrace, Name: name, Description: description, Seed: exampleSeed},
		Requests: Generate(profile, options),
		Actions:  actions,
		Expected: []Expectation{
			{Kind: KindExpect, Expect: ExpectSingleRuns},
			{Kind: KindExpect, Expect: ExpectWholeAnswers},
			{Kind: KindExpect, Expect: ExpectTierOrder, Tiers: []string{interactive, standard, batch}},
		},
	}
	if useful > 0 {
		t.Expected = append(t.Expected,
			Expectation{Kind: KindExpect, Expect: ExpectUnknown},
			Expectation{Kind: KindExpect, Expect: ExpectUseful, Tier: interactive, MinShare: useful})
	} else {
		t.Expected = append(t.Expected, aroundOutage(actions[0].At, actions[1].At)...)
	}
	return Example{name, t}
}

// aroundOutage asks that nothing is missing before an outage of the store and
// shortly after it, and that chats, which carry no key, go on during it. A
// keyed request may then end unknown: the node cannot ask whether an earlier
// one of its key ran.
func aroundOutage(from, to int64) []Expectation {
	before, after := from-callWaits, to+3*callWaits
	return []Expectation{
		{Kind: KindExpect, Expect: ExpectUnknown, To: before},
		{Kind: KindExpect, Expect: ExpectUnknown, From: after},
		{Kind: KindExpect, Expect: ExpectUseful, Tier: interactive, To: before, MinShare: 0.99},
		{Kind: KindExpect, Expect: ExpectUseful, Tier: interactive, From: after, MinShare: 0.99},
		{Kind: KindExpect, Expect: ExpectUseful, Team: "subscribers", MinShare: 0.99},
	}
}
