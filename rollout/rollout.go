// Package rollout moves the traffic of a service to targets of a new version by an
// operator's order in the store. The new version first gets a small share of the requests
// of each node. It gets all of them once its responses compare well with those of the
// other versions, and none once they do not. Decisions are functions of a snapshot, with
// time passed in.
package rollout

import "time"

// Order is an operator's order to move the traffic of a service to a version.
type Order struct {
	Service string
	// Target is the version that is to serve.
	Target string
	// Duration is the time after the order within which the rollout has to end.
	Duration time.Duration
	// Revision is the store's revision of the order; a later order has a higher one.
	Revision uint64
}

// Phase is how far a rollout has come. It never goes back.
type Phase uint8

// The phases of a rollout. In Ordered, no node has taken the decisions on yet, and nothing
// is sent to the new version.
const (
	Ordered Phase = iota
	Trial
	Shifting
	Completed
	Reverted
)

var phaseNames = [...]string{Ordered: "ordered", Trial: "trial", Shifting: "shifting", Completed: "completed", Reverted: "reverted"}

// String returns the phase's name in log lines and in the store.
func (p Phase) String() string {
	if int(p) >= len(phaseNames) {
		return "unknown" // Of a node of another release.
	}
	return phaseNames[p]
}

// ParsePhase returns the phase of a name; ok is false if there is none.
func ParsePhase(name string) (p Phase, ok bool) {
	for i, n := range phaseNames {
		if n == name {
			return Phase(i), true
		}
	}
	return Ordered, false
}

// Ended reports whether no later phase follows.
func (p Phase) Ended() bool { return p == Completed || p == Reverted }

// Status is what the deciding node writes to the order's object in the store.
type Status struct {
	Phase  Phase
	Target string
	// Order is the revision of the order that the status belongs to.
	Order uint64
	// Duration is the time limit of that order, 0 if it is not known.
	Duration time.Duration
	// Decider is the process that decides until Lease has passed since the write.
	Decider string
	Lease   time.Duration
	// Elapsed is the time from the order to the write, and Written the time of the write.
	Elapsed time.Duration
	Written time.Time
}

// Object is an order with its status, as the store holds it.
type Object struct {
	Order
	// Status is nil if none was written for this order.
	Status *Status
	// Revision is the revision of the object, which rises with each status.
	Revision uint64
}

// Phase returns the phase that the status states.
func (o Object) Phase() Phase {
	if o.Status == nil {
		return Ordered
	}
	return o.Status.Phase
}
