// Package admission implements the group owner. It queues requests by tier in
// front of a group's targets, grants permits to dispatch them, and coordinates
// load shedding with the sibling owners of a service. Owner is the state
// machine; it takes the time as an argument and does no I/O. Manager runs one
// Owner in a goroutine.
package admission

import (
	"time"

	"github.com/primrosemoor/primrosemoor/scheduling"
	"github.com/primrosemoor/primrosemoor/schema"
)

// Reply receives the answer to one Waiter: exactly one of reply and err is set.
// It is called at most once, from within a method of Owner, and must not block.
type Reply func(reply *schema.PermitReply, err error)

// Waiter is one request for a permit.
type Waiter struct {
	permitRequest *schema.PermitRequest
	request       scheduling.Request
	rank          uint32
	weight        float64
	arrived       time.Time
	deadline      time.Time
	cost          float64
	reply         Reply
	group         *group
	flow          *flow
	// firstAttempt is true until the first attempt to dispatch the request has
	// been made.
	firstAttempt bool
	permitNumber uint64

	previous, next *Waiter
}

// NewWaiter returns a waiter for a permit request that was received at now.
func NewWaiter(now time.Time, permitRequest *schema.PermitRequest, reply Reply) *Waiter {
	w := &Waiter{
		permitRequest: permitRequest,
		rank:          permitRequest.GetTier(),
		weight:        1,
		arrived:       now.Add(-permitRequest.GetWaited().AsDuration()),
		reply:         reply,
		firstAttempt:  true,
	}
	w.deadline = now.Add(defaultQueueTimeout)
	if d := permitRequest.GetDeadline().AsDuration(); d > 0 {
		w.deadline = now.Add(d)
	}
	return w
}

// answer sends the reply or error. Calls after the first do nothing.
func (w *Waiter) answer(reply *schema.PermitReply, err error) {
	if w.reply == nil {
		return
	}
	send := w.reply
	w.reply = nil
	send(reply, err)
}

// Answered reports whether the waiter was answered or cancelled.
func (w *Waiter) Answered() bool {
	return w.reply == nil
}

func (w *Waiter) laneKey() laneKey {
	return laneKey{w.request.Model, w.request.Exclusive}
}
