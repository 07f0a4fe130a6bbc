package scheduling

import "time"

const (
	defaultPrefillRate = 4000.0
	minPrefillRate     = 10.0
	defaultTokenTime   = 12 * time.Millisecond
	// minRateTokens is the least prefill whose time says something of the rate.
	minRateTokens = 32
	// rateMemory is the share of older observations kept at each new one.
	rateMemory = 0.9
)

// Rates holds what was learned of a target's speed from completed requests.
// The zero value is not ready; use NewRates.
type Rates struct {
	prefillTokens  float64
	prefillSeconds float64
	decode         line
}

// NewRates returns rates that start from cautious defaults.
func NewRates() Rates {
	r := Rates{prefillTokens: defaultPrefillRate * 0.1, prefillSeconds: 0.1}
	r.decode.add(1, defaultTokenTime.Seconds())
	return r
}

// RestoreRates returns rates that start from those of an earlier owner.
func RestoreRates(prefill float64, tokenTime time.Duration) Rates {
	r := NewRates()
	if prefill > 0 {
		r.prefillTokens = prefill * r.prefillSeconds
	}
	if tokenTime > 0 {
		r.decode = line{}
		r.decode.add(1, tokenTime.Seconds())
	}
	return r
}

// ObservePrefill learns that tokens were prefilled in the given time.
func (r *Rates) ObservePrefill(tokens float64, took time.Duration) {
	if tokens < minRateTokens || took <= 0 {
		return
	}
	r.prefillTokens = r.prefillTokens*rateMemory + tokens
	r.prefillSeconds = r.prefillSeconds*rateMemory + took.Seconds()
}

// ObserveDecode learns the mean time per output token at a mean batch size.
func (r *Rates) ObserveDecode(batch float64, tokenTime time.Duration) {
	if tokenTime > 0 {
		r.decode.add(batch, tokenTime.Seconds())
	}
}

// Prefill returns the prefill rate in tokens per second.
func (r *Rates) Prefill() float64 {
	return max(r.prefillTokens/r.prefillSeconds, minPrefillRate)
}

// TokenTime returns the expected time per output token at a batch size.
func (r *Rates) TokenTime(batch int) time.Duration {
	return time.Duration(r.decode.at(float64(batch)) * float64(time.Second))
}

// line is a least-squares line with exponentially fading weights.
type line struct {
	n, x, y, xx, xy float64
}

func (l *line) add(x, y float64) {
	l.n = l.n*rateMemory + 1
	l.x = l.x*rateMemory + x
	l.y = l.y*rateMemory + y
	l.xx = l.xx*rateMemory + x*x
	l.xy = l.xy*rateMemory + x*y
}

// minVariance is the spread of x below which no slope is derived.
const minVariance = 0.25

// at returns the line's value; the slope is never negative, because a larger
// batch never makes a target faster.
func (l *line) at(x float64) float64 {
	meanX, meanY := l.x/l.n, l.y/l.n
	variance := l.xx/l.n - meanX*meanX
	if variance < minVariance {
		return meanY
	}
	slope := max((l.xy/l.n-meanX*meanY)/variance, 0)
	return max(meanY+slope*(x-meanX), meanY/4)
}
