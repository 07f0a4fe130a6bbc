package scheduling

import "time"

// Score is the expected cost of running a request on a target, in seconds; the
// lowest total is the best. For a rejected target, only Target and Reason are set.
type Score struct {
	Target string
	Reason Reason
	// FirstToken is the expected time to the first token.
	FirstToken float64
	// Decode is the cost of slow output.
	Decode float64
	// CrossRegion is the cost of bytes sent to another region.
	CrossRegion float64
	// Cold is the time to load a model that is not loaded.
	Cold float64
	// Total is the sum of the costs above.
	Total float64
	// CachedTokens is the number of prompt tokens expected in the target's cache.
	CachedTokens int
}

const bytesPerMegabyte = 1 << 20

// decodeWeight is the share of the total decode time that counts towards the
// score, because a fast first token matters more than a fast last one.
const decodeWeight = 0.2

// Evaluate returns the score of running r on c.
func Evaluate(p *Policy, r *Request, c *Candidate) Score {
	s := Score{Target: c.Name, CachedTokens: c.CachedTokens}
	if c.Plain {
		s.FirstToken = plainQueueTime(c)
	} else {
		s.FirstToken = firstTokenSeconds(r, c)
		s.Decode = decodeCost(p, r, c)
	}
	s.CrossRegion = crossRegionCost(p, r, c)
	s.Total = s.FirstToken + s.Decode + s.CrossRegion + s.Cold
	return s
}

// plainQueueTime returns a cost proportional to the share of the target's
// concurrency that is in use, so that requests of plain services are spread over
// the targets.
func plainQueueTime(c *Candidate) float64 {
	return float64(c.InFlight) / float64(max(c.MaxInFlight, 1)) * c.TokenTime.Seconds()
}

// firstTokenSeconds returns the expected time to the first token of r on c, in
// seconds.
func firstTokenSeconds(r *Request, c *Candidate) float64 {
	return (c.PrefillWait + c.TokenTime).Seconds() + float64(r.UncachedTokens(c))/c.PrefillRate
}

// decodeCost returns the weighted decode time of the response, plus all time above
// the token time goal.
func decodeCost(p *Policy, r *Request, c *Candidate) float64 {
	tokens := float64(r.OutputTokens)
	excess := max(c.TokenTime-p.TokenTimeGoal, 0)
	return tokens * (decodeWeight*c.TokenTime.Seconds() + excess.Seconds())
}

// crossRegionCost returns the cost of the request body and the response if r and c
// are known to be in different regions.
func crossRegionCost(p *Policy, r *Request, c *Candidate) float64 {
	if r.Region == "" || c.Region == "" || r.Region == c.Region {
		return 0
	}
	size := r.BodyBytes + r.OutputTokens*bytesPerToken
	return float64(size) / bytesPerMegabyte * p.CrossRegionPrice
}

// ExpectedFirstToken returns the expected time to the first token of r on c.
func ExpectedFirstToken(r *Request, c *Candidate) time.Duration {
	if c.Plain {
		return 0
	}
	return time.Duration(firstTokenSeconds(r, c) * float64(time.Second))
}
