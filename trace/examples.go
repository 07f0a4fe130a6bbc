package trace

import (
	"time"
)

// exampleSeed is the seed of the example traces.
const exampleSeed = 20261204

// Example is a generated example trace.
type Example struct {
	// Name is the file name under examples/traces without ".jsonl".
	Name  string
	Trace *Trace
}

// Examples returns the four traces under examples/traces.
func Examples() []Example {
	return []Example{
		newExample("drumlin-spring-weekend", "Guests come in a burst of ten times the rate when the spring weekend opens.",
			Drumlin(), Options{Rate: 12, Duration: 30 * time.Second,
				Bursts: []Burst{{At: 10 * time.Second, For: 5 * time.Second, Factor: 10, Teams: []string{"guests", "bookings"}}}},
			nil, 0.99),
		newExample("drumlin-hot-cupboard", "The cupboard overheats: VMs are pulled from the register under load and one comes back.",
			Drumlin(), Options{Rate: 20, Duration: 30 * time.Second},
			[]Action{setVMState(8, ActionSetLeaving, "herd-02"), setVMState(10, ActionSetLeaving, "herd-03"),
				setVMState(12, ActionSetLeaving, "paddock-1"), setVMState(22, ActionSetActive, "herd-02")}, 0.99),
		newExample("kowhai-packing-day", "The shed asks for labels all at once while subscribers chat.",
			Kowhai(), Options{Rate: 12, Duration: 30 * time.Second,
				Bursts: []Burst{{At: 8 * time.Second, For: 10 * time.Second, Factor: 8, Teams: []string{"packing-shed", "tasting-notes"}}}},
			nil, 0.99),
		newExample("kowhai-courier-day-outage", "The platform's store is down for ten seconds while couriers look up and dispatch orders.",
			Kowhai(), Options{Rate: 15, Duration: 30 * time.Second,
				Bursts: []Burst{{At: 5 * time.Second, For: 20 * time.Second, Factor: 3, Teams: []string{"courier-desk"}}}},
			[]Action{{Kind: KindAction, At: 10_000, Do: ActionStoreDown}, {Kind: KindAction, At: 20_000, Do: ActionStoreHealed}}, 0),
	}
}

func setVMState(second int64, kind ActionKind, vm string) Action {
	return Action{Kind: KindAction, At: second * 1000, Do: kind, VM: vm}
}

// newExample combines a generated load with its expectations. minUseful is the
// minimum share of interactive requests that must be answered within their
// deadline; 0 means that the platform's store is down between the two actions.
func newExample(name, description string, profile Profile, options Options, actions []Action, minUseful float64) Example {
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
	if minUseful > 0 {
		t.Expected = append(t.Expected,
			Expectation{Kind: KindExpect, Expect: ExpectUnknown},
			Expectation{Kind: KindExpect, Expect: ExpectUseful, Tier: interactive, MinShare: minUseful})
	} else {
		t.Expected = append(t.Expected, outageExpectations(actions[0].At, actions[1].At)...)
	}
	return Example{name, t}
}

// outageExpectations returns the expectations of a trace with an outage of the
// store. Before the outage and from shortly after it, no request may end unknown
// and almost all interactive requests must be useful. Subscribers' chats, which
// carry no key, must be so throughout. During the outage a keyed request may end
// unknown, because the node cannot look up whether an earlier request with its key
// ran.
func outageExpectations(from, to int64) []Expectation {
	before, after := from-callDeadline, to+3*callDeadline
	return []Expectation{
		{Kind: KindExpect, Expect: ExpectUnknown, To: before},
		{Kind: KindExpect, Expect: ExpectUnknown, From: after},
		{Kind: KindExpect, Expect: ExpectUseful, Tier: interactive, To: before, MinShare: 0.99},
		{Kind: KindExpect, Expect: ExpectUseful, Tier: interactive, From: after, MinShare: 0.99},
		{Kind: KindExpect, Expect: ExpectUseful, Team: "subscribers", MinShare: 0.99},
	}
}
