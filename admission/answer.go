package admission

import (
	"strconv"
	"time"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/scheduling"
)

// answerName returns "granted", "redirected" or the name of the error's kind.
func answerName(a answer) string {
	switch {
	case a.err != nil:
		return fault.KindName(fault.KindOf(a.err))
	case a.reply.GetRedirectGroup() != "":
		return "redirected"
	default:
		return "granted"
	}
}

// decisionLine returns the decision as key=value pairs, or the empty string if
// the owner does not explain.
func (o *Owner) decisionLine(now time.Time, g *group, w *Waiter, d *scheduling.Decision) string {
	if !o.options.Explain {
		return ""
	}
	line := make([]byte, 0, 64+32*len(d.Scores))
	line = append(line, "waited_ms="...)
	line = strconv.AppendInt(line, now.Sub(w.arrived).Milliseconds(), 10)
	line = append(line, " queued="...)
	line = strconv.AppendInt(line, int64(g.queue.length), 10)
	line = append(line, ' ')
	return string(d.AppendLine(line))
}
