package balance

import (
	"slices"
	"time"
)

// maxInUseForCopies is the share of a service's slots in use above which no second copy of a
// request is granted a target if the copy states no lower one. With random arrivals at 36
// slots, 2.9 % of the requests find no free slot at this share (Erlang C).
const maxInUseForCopies = 0.7

// choose returns the target of a request. A second copy of one gets the best target that is
// neither suspect nor unproven since a failure, and none while other requests wait or more
// slots are in use than it allows for.
func (p *pool) choose(w *Work, now time.Time, here location, c *capacity, reserve time.Duration, waiting int) (choice, bool) {
	if !w.NoWait {
		return p.pick(w, now, here, c, reserve)
	}
	limit := maxInUseForCopies
	if w.MaxInUse > 0 {
		limit = min(limit, w.MaxInUse)
	}
	if waiting > 0 || c.slots == 0 || float64(c.taken+1) > limit*float64(c.slots) {
		return choice{}, false
	}
	sound := slices.DeleteFunc(c.candidates(), func(t *target) bool { return t.health.onTrial() })
	return p.best(sound, w, now, here, c, reserve)
}

// waitingFor returns how many requests for a service wait at other nodes and zones, as far
// as they have reported.
func (q *remoteQueues) waitingFor(service string) int {
	total := 0
	for _, counts := range q.waiting {
		for key, waiting := range counts {
			if key.service == service {
				total += waiting
			}
		}
	}
	return total
}
