package scheduling

import "time"

const (
	defaultPrefillRate = 4000.0
	minPrefillRate     = 10.0
	defaultTokenTime   = 12 * time.Millisecond
	// priorTokens is the size of the synthetic prefill observation that represents
	// an assumed rate.
	priorTokens = 500.0
	// minPrefillTokens is the smallest prefill whose duration is used to estimate
	// the rate.
	minPrefillTokens = 128
	// prefillDecay and decodeDecay are the factors by which each new observation
	// reduces the weight of older ones.
	prefillDecay = 0.9
	decodeDecay  = 0.9
)

// Rates estimates a target's prefill and decode speed from completed requests.
// The zero value is not usable; use NewRates or RestoreRates.
type Rates struct {
	prefillTokens  float64
	prefillSeconds float64
	decode         linearFit
}

// NewRates returns rates that start from conservative defaults.
func NewRates() Rates {
	return RestoreRates(defaultPrefillRate, defaultTokenTime)
}

// RestoreRates returns rates that start from the estimates of a previous owner.
// prefill is in tokens per second; zero values mean the defaults.
func RestoreRates(prefill float64, tokenTime time.Duration) Rates {
	if prefill <= 0 {
		prefill = defaultPrefillRate
	}
	if tokenTime <= 0 {
		tokenTime = defaultTokenTime
	}
	r := Rates{prefillTokens: priorTokens, prefillSeconds: priorTokens / prefill, decode: linearFit{decay: decodeDecay}}
	r.decode.add(1, tokenTime.Seconds())
	return r
}

// MoveTowards moves the prefill rate slightly towards prefill, the rate of
// similar targets in tokens per second. It is meant for a target without recent
// observations, so that an outdated low estimate does not keep it idle forever.
func (r *Rates) MoveTowards(prefill float64) {
	r.addPrefill(priorTokens, priorTokens/prefill)
}

// ObservePrefill records the time to a first token that came after a prefill of
// the given number of tokens. The decode step that emits the token, estimated at
// the batch size, does not count as prefill.
func (r *Rates) ObservePrefill(tokens float64, elapsed time.Duration, batch int) {
	if tokens < minPrefillTokens || elapsed <= 0 {
		return
	}
	step := r.TokenTime(batch)
	r.addPrefill(tokens, max(elapsed-step, elapsed/2).Seconds())
}

func (r *Rates) addPrefill(tokens, seconds float64) {
	r.prefillTokens = r.prefillTokens*prefillDecay + tokens
	r.prefillSeconds = r.prefillSeconds*prefillDecay + seconds
}

// ObserveDecode records the mean time per output token at a mean batch size.
func (r *Rates) ObserveDecode(batch float64, tokenTime time.Duration) {
	if tokenTime > 0 {
		r.decode.add(batch, tokenTime.Seconds())
	}
}

// PrefillRate returns the prefill rate in tokens per second.
func (r *Rates) PrefillRate() float64 {
	return max(r.prefillTokens/r.prefillSeconds, minPrefillRate)
}

// TokenTime returns the expected time per output token at the batch size.
func (r *Rates) TokenTime(batch int) time.Duration {
	return time.Duration(r.decode.valueAt(float64(batch)) * float64(time.Second))
}

// linearFit is a least-squares linear fit with exponentially decaying weights.
type linearFit struct {
	decay                       float64
	n, sumX, sumY, sumXX, sumXY float64
}

func (l *linearFit) add(x, y float64) {
	l.n = l.n*l.decay + 1
	l.sumX = l.sumX*l.decay + x
	l.sumY = l.sumY*l.decay + y
	l.sumXX = l.sumXX*l.decay + x*x
	l.sumXY = l.sumXY*l.decay + x*y
}

// minRelativeVariance is the variance of x, relative to the square of its mean, up
// to which no slope is derived.
const minRelativeVariance = 0.01

// slope returns the slope of the fit. It is 0 if x varies too little, and never
// negative, because a larger batch never makes a target faster.
func (l *linearFit) slope() float64 {
	meanX, meanY := l.sumX/l.n, l.sumY/l.n
	variance := l.sumXX/l.n - meanX*meanX
	if variance <= minRelativeVariance*meanX*meanX {
		return 0
	}
	return max((l.sumXY/l.n-meanX*meanY)/variance, 0)
}

// valueAt returns the fitted value at x, which is at least a quarter of the mean.
func (l *linearFit) valueAt(x float64) float64 {
	meanX, meanY := l.sumX/l.n, l.sumY/l.n
	return max(meanY+l.slope()*(x-meanX), meanY/4)
}
