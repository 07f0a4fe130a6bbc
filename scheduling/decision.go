package scheduling

import "strconv"

// Verdict summarizes the result of a decision.
type Verdict uint8

// Verdicts of a decision.
const (
	// VerdictChosen means that a target was selected.
	VerdictChosen Verdict = iota
	// VerdictWait means that a suitable target exists but cannot accept the
	// request now.
	VerdictWait
	// VerdictTooLate means that no target is expected to produce the first token
	// before the deadline. Queueing does not help: the time left shrinks as fast
	// as the targets work off their backlogs.
	VerdictTooLate
	// VerdictImpossible means that no target of the group can ever run the
	// request.
	VerdictImpossible
)

var verdictNames = [...]string{VerdictChosen: "chosen", VerdictWait: "wait", VerdictTooLate: "too-late", VerdictImpossible: "impossible"}

// String returns the name of the verdict as used in decision lines.
func (v Verdict) String() string {
	return verdictNames[v]
}

// Decision is the result of choosing a target, with the score or the rejection
// reason of each candidate.
type Decision struct {
	Request *Request
	// Scores has one entry per candidate, in the order of the candidates.
	Scores []Score
	// Chosen is the index of the selected candidate, or -1 if there is none.
	Chosen  int
	Verdict Verdict
}

// verdict derives the verdict from the chosen index and the rejection reasons.
// A candidate that may become eligible takes precedence over one that would miss
// the deadline.
func (d *Decision) verdict() Verdict {
	if d.Chosen >= 0 {
		return VerdictChosen
	}
	verdict := VerdictImpossible
	for i := range d.Scores {
		reason := d.Scores[i].Reason
		if reason == ReasonTooLate {
			verdict = VerdictTooLate
		} else if reason.Temporary() {
			return VerdictWait
		}
	}
	return verdict
}

// AppendLine appends the decision to line as key=value pairs, without a trailing
// newline.
func (d *Decision) AppendLine(line []byte) []byte {
	line = append(line, "verdict="...)
	line = append(line, d.Verdict.String()...)
	if d.Chosen >= 0 {
		line = append(line, " target="...)
		line = append(line, d.Scores[d.Chosen].Target...)
	}
	line = appendInt(line, " prompt_tokens=", d.Request.PromptTokens)
	line = appendInt(line, " output_tokens=", d.Request.OutputTokens)
	for i := range d.Scores {
		line = d.Scores[i].appendCandidate(line)
	}
	return line
}

// appendCandidate appends an eligible candidate as
// name=total:first:decode:region:cold:cached, with times in milliseconds and
// cached in tokens, and a rejected one as name=reason.
func (s *Score) appendCandidate(line []byte) []byte {
	line = append(line, ' ')
	line = append(line, s.Target...)
	line = append(line, '=')
	if s.Reason != Eligible {
		return append(line, s.Reason.String()...)
	}
	for _, seconds := range [...]float64{s.Total, s.FirstToken, s.Decode, s.CrossRegion, s.Cold} {
		line = strconv.AppendInt(line, int64(seconds*1000), 10)
		line = append(line, ':')
	}
	return strconv.AppendInt(line, int64(s.CachedTokens), 10)
}

func appendInt(line []byte, key string, value int) []byte {
	line = append(line, key...)
	return strconv.AppendInt(line, int64(value), 10)
}
