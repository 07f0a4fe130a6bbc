package admission

import (
	"strconv"
	"time"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/scheduling"
)

// answerLabel returns "granted", "redirected" or the name of the error's kind.
func answerLabel(result acquireResult) string {
	switch {
	case result.err != nil:
		return fault.KindName(fault.KindOf(result.err))
	case result.reply.GetRedirectGroup() != "":
		return "redirected"
	default:
		return "granted"
	}
}

// decisionLine formats the decision as key=value pairs. It returns the empty
// string if OwnerOptions.Explain is off.
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
