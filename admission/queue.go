package admission

import (
	"container/heap"
	"slices"
)

// laneKey identifies a lane. Waiters with the same key compete for the same
// targets.
type laneKey struct {
	model     string
	exclusive bool
}

// queue orders waiters strictly by rank. Within a rank and lane it uses
// start-time fair queueing over teams, so that each team's share is
// proportional to its weight.
type queue struct {
	ranks  [MaxRanks]rankQueue
	length int
}

// rankQueue holds the waiters of one rank in lanes.
type rankQueue struct {
	lanes     map[laneKey]*lane
	laneOrder []*lane
	length    int
	tokens    float64
}

// lane schedules the flows of the teams that compete for the same targets.
type lane struct {
	key    laneKey
	flows  map[string]*flow
	active flowHeap
	// virtualTime is the start tag of the flow served last.
	virtualTime float64
	// activeWeight is the sum of the weights of the active flows.
	activeWeight float64
}

// flow holds one team's waiters in a lane, in order of arrival.
type flow struct {
	team       string
	lane       *lane
	weight     float64
	startTag   float64
	heapIndex  int
	head, tail *Waiter
	length     int
	tokens     float64
}

// push adds a waiter. A flow that becomes active starts at the lane's virtual
// time.
func (q *queue) push(w *Waiter) {
	r := &q.ranks[w.rank]
	f := r.lane(w.laneKey()).flow(w.request.Team)
	if f.length == 0 {
		f.weight = w.weight
		f.startTag = max(f.startTag, f.lane.virtualTime)
		f.lane.activeWeight += f.weight
	}
	f.insert(w)
	if f.length == 1 {
		heap.Push(&f.lane.active, f)
	}
	r.length++
	r.tokens += w.cost
	q.length++
}

// remove removes a waiter. It does nothing if the waiter is not queued.
func (q *queue) remove(w *Waiter) {
	f := w.flow
	if f == nil {
		return
	}
	f.unlink(w)
	if f.length == 0 {
		heap.Remove(&f.lane.active, f.heapIndex)
		f.lane.activeWeight -= f.weight
	}
	r := &q.ranks[w.rank]
	r.length--
	r.tokens -= w.cost
	q.length--
}

// dequeue removes the head of a flow to serve it and charges its cost to the
// flow.
func (q *queue) dequeue(w *Waiter) {
	f := w.flow
	q.remove(w)
	f.lane.virtualTime = f.startTag
	f.startTag += w.cost / f.weight
	if f.length > 0 {
		heap.Fix(&f.lane.active, f.heapIndex)
	}
}

// lowestRank returns the least important rank that has waiters. ok is false if
// the queue is empty.
func (q *queue) lowestRank() (rank uint32, ok bool) {
	for rank := MaxRanks - 1; rank >= 0; rank-- {
		if q.ranks[rank].length > 0 {
			return uint32(rank), true
		}
	}
	return 0, false
}

// shedCandidate returns the newest waiter of the flow with the most tokens per
// weight in a rank, or nil if the rank has no waiters.
func (q *queue) shedCandidate(rank uint32) *Waiter {
	var longest *flow
	for _, l := range q.ranks[rank].laneOrder {
		for _, f := range l.active {
			if longest == nil || f.tokens*longest.weight > longest.tokens*f.weight {
				longest = f
			}
		}
	}
	if longest == nil {
		return nil
	}
	return longest.tail
}

// forEach calls visit for each waiter of a rank. visit may remove the waiter.
func (q *queue) forEach(rank uint32, visit func(*Waiter)) {
	for _, l := range q.ranks[rank].laneOrder {
		for _, f := range append(flowHeap(nil), l.active...) {
			for w := f.head; w != nil; {
				next := w.next
				visit(w)
				w = next
			}
		}
	}
}

// tokensAhead estimates the tokens that are served before a new request of the
// team: those of all more important ranks, and within the rank the tokens
// served by fair queueing until the team's own queued tokens are done.
func (q *queue) tokensAhead(rank uint32, key laneKey, team string, weight float64) float64 {
	total := 0.0
	for i := uint32(0); i < rank; i++ {
		total += q.ranks[i].tokens
	}
	r := &q.ranks[rank]
	ownTokens, totalWeight := 0.0, weight
	if l, ok := r.lanes[key]; ok {
		totalWeight += l.activeWeight
		if f, ok := l.flows[team]; ok && f.length > 0 {
			ownTokens, totalWeight = f.tokens, l.activeWeight
		}
	}
	return total + min(r.tokens, ownTokens*totalWeight/weight)
}

// removeIdleFlows deletes empty flows whose start tag is not ahead of the
// lane's virtual time, because a new flow would start with the same tag.
func (q *queue) removeIdleFlows() {
	for i := range q.ranks {
		for _, l := range q.ranks[i].laneOrder {
			for team, f := range l.flows {
				if f.length == 0 && f.startTag <= l.virtualTime {
					delete(l.flows, team)
				}
			}
		}
	}
}

// lane returns the lane of a key and creates it if needed.
func (r *rankQueue) lane(key laneKey) *lane {
	l, ok := r.lanes[key]
	if ok {
		return l
	}
	if r.lanes == nil {
		r.lanes = make(map[laneKey]*lane)
	}
	l = &lane{key: key, flows: make(map[string]*flow)}
	r.lanes[key] = l
	r.laneOrder = append(r.laneOrder, l)
	return l
}

// nextWaiter returns the longest waiting head of all lanes that are not
// blocked, neither themselves nor by their model. It returns nil if there is
// none.
func (r *rankQueue) nextWaiter(blockedModels []string, blockedLanes []*lane) *Waiter {
	var first *Waiter
	for _, l := range r.laneOrder {
		w := l.head()
		if w == nil || slices.Contains(blockedModels, l.key.model) || slices.Contains(blockedLanes, l) {
			continue
		}
		if first == nil || w.arrived.Before(first.arrived) {
			first = w
		}
	}
	return first
}

// flow returns the flow of a team and creates it if needed.
func (l *lane) flow(team string) *flow {
	f, ok := l.flows[team]
	if !ok {
		f = &flow{team: team, lane: l, weight: 1}
		l.flows[team] = f
	}
	return f
}

// head returns the waiter to serve next, or nil if the lane is empty.
func (l *lane) head() *Waiter {
	if len(l.active) == 0 {
		return nil
	}
	return l.active[0].head
}

// insert adds a waiter in order of arrival, which differs from the order of
// insertion only for requests that waited at another owner.
func (f *flow) insert(w *Waiter) {
	predecessor := f.tail
	for predecessor != nil && predecessor.arrived.After(w.arrived) {
		predecessor = predecessor.previous
	}
	w.flow, w.previous = f, predecessor
	if predecessor == nil {
		w.next, f.head = f.head, w
	} else {
		w.next, predecessor.next = predecessor.next, w
	}
	if w.next == nil {
		f.tail = w
	} else {
		w.next.previous = w
	}
	f.length++
	f.tokens += w.cost
}

// unlink removes a waiter from the flow's list.
func (f *flow) unlink(w *Waiter) {
	if w.previous == nil {
		f.head = w.next
	} else {
		w.previous.next = w.next
	}
	if w.next == nil {
		f.tail = w.previous
	} else {
		w.next.previous = w.previous
	}
	w.flow, w.previous, w.next = nil, nil, nil
	f.length--
	f.tokens -= w.cost
}

// flowHeap is a min-heap of flows by start tag, then by arrival of the head.
type flowHeap []*flow

// Len implements heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	if h[i].head == nil || h[j].head == nil {
		return false
	}
	return h[i].head.arrived.Before(h[j].head.arrived)
}

// Swap implements heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}
