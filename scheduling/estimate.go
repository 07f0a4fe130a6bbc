package scheduling

import lru "github.com/hashicorp/golang-lru/v2"

const (
	// defaultOutputTokens is the estimate for a team and service without
	// observations.
	defaultOutputTokens = 128
	// maxEstimates bounds the cached means.
	maxEstimates = 4096
	// estimateSmoothing is the weight of a new observation in the moving average.
	estimateSmoothing = 0.1
)

type estimateKey struct {
	team    string
	service string
}

// Estimator keeps an exponentially weighted moving average of the output tokens
// per request for each team and service. It holds a bounded number of averages
// and evicts the least recently used.
type Estimator struct {
	means *lru.Cache[estimateKey, float64]
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	means, err := lru.New[estimateKey, float64](maxEstimates)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &Estimator{means: means}
}

// Observe records the output tokens of one completed request.
func (e *Estimator) Observe(team, service string, tokens int) {
	key := estimateKey{team, service}
	mean, ok := e.means.Get(key)
	if !ok {
		mean = float64(tokens)
	}
	e.means.Add(key, mean+estimateSmoothing*(float64(tokens)-mean))
}

// Estimate returns the expected output tokens, capped at limit if limit is
// positive.
func (e *Estimator) Estimate(team, service string, limit int) int {
	mean, ok := e.means.Get(estimateKey{team, service})
	if !ok {
		mean = defaultOutputTokens
	}
	tokens := max(int(mean), 1)
	if limit > 0 {
		tokens = min(tokens, limit)
	}
	return tokens
}
