package scheduling

// Decide filters and scores the candidates and picks the one with the lowest
// total score; ties go to the first. A request below the top tier that needs a
// long prefill has to wait unless more than half of the targets can start a
// prefill soon. contendedModels are the models for which more important requests
// are waiting. The scores are appended to buffer[:0].
func Decide(p *Policy, r *Request, candidates []Candidate, contendedModels []string, buffer []Score) Decision {
	d := Decision{Request: r, Scores: buffer[:0], Chosen: -1}
	headroom := countPrefillReady(p, candidates) > len(candidates)/2
	for i := range candidates {
		c := &candidates[i]
		reason := Filter(p, r, c, contendedModels)
		if reason == Eligible && !headroom && hasLongPrefill(p, r, c) {
			reason = ReasonHeadroom
		}
		if reason != Eligible {
			d.Scores = append(d.Scores, Score{Target: c.Name, Reason: reason})
			continue
		}
		d.Scores = append(d.Scores, Evaluate(p, r, c))
		if d.Chosen < 0 || d.Scores[i].Total < d.Scores[d.Chosen].Total {
			d.Chosen = i
		}
	}
	d.Verdict = d.verdict()
	return d
}
