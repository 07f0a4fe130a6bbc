package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func (p *testPool) previewNow(w *Work) Preview {
	return p.preview(w, p.now, p.location, 1, &p.queues)
}

func (p Preview) excluded() map[string]Exclusion {
	reasons := make(map[string]Exclusion)
	for _, t := range p.Targets {
		reasons[t.ID] = t.Excluded
	}
	return reasons
}

// A preview that differs from the choice that follows would mislead operators.
func TestPreviewNamesTheTargetThatIsChosen(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2*time.Millisecond, 6*time.Millisecond, 3*time.Millisecond)
	p.setFreeSlots("A", 0)
	w := p.work("draft", 0, nil)
	preview := p.previewNow(w)
	is.Equal(preview.Target, "C")
	is.Equal(preview.Targets[0].ID, "C") // the best one first
	is.Equal(preview.excluded(), map[string]Exclusion{"A": ExcludedFull, "B": "", "C": ""})
	is.Equal(len(p.waiting), 0) // nothing was queued
	p.enqueue(w)
	is.Equal(p.assignNow(), []string{"draft>C"})
}

func TestPreviewSaysWhyTargetsAreLeftOut(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2*time.Millisecond, 2*time.Millisecond, 2*time.Millisecond, 2*time.Millisecond)
	p.targets["A"].leaving = true
	p.targets["B"].health.recordFailure("", p.now)
	p.targets["C"].Version, p.targets["D"].Version = "v1", "v2"
	preview := p.previewNow(p.work("chat", 1, func(w *Work) { w.Version = "v2" }))
	is.Equal(preview.Target, "D")
	is.Equal(preview.excluded(), map[string]Exclusion{"A": ExcludedLeaving, "B": ExcludedBackoff, "C": ExcludedVersion, "D": ""})
}

func TestPreviewCountsTheRequestsAhead(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2 * time.Millisecond)
	p.setFreeSlots("A", 0)
	p.enqueue(p.work("draft", 0, nil), p.work("mail", 2, nil))
	p.assignNow()
	preview := p.previewNow(p.work("chat", 1, nil))
	is.Equal(preview.Ahead, 1)
	is.Equal(preview.Target, "")
}

// A request that waits for a version without a free slot does not hold back those that come
// after it, and an operator must not be told so.
func TestPreviewPassesRequestsThatNoFreeTargetMayTake(t *testing.T) {
	is := is.New(t)
	p := newTestPool(2*time.Millisecond, 2*time.Millisecond)
	p.targets["A"].Version, p.targets["B"].Version = "v1", "v2"
	p.setFreeSlots("A", 0)
	p.enqueue(p.work("resumed", 0, func(w *Work) { w.Version = "v1" }))
	is.Equal(len(p.assignNow()), 0)
	w := p.work("chat", 1, nil)
	preview := p.previewNow(w)
	is.Equal(preview.Ahead, 1)
	is.Equal(preview.Target, "B")
	p.enqueue(w)
	is.Equal(p.assignNow(), []string{"chat>B"})
}

func TestPreviewOfAServiceWithoutTargetsIsARefusal(t *testing.T) {
	is := is.New(t)
	p := newTestPool()
	is.Equal(p.previewNow(p.work("chat", 1, nil)).Refusal.Reason, ReasonNoTarget)
}
