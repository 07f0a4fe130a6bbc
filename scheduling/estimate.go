package scheduling

import lru "github.com/hashicorp/golang-lru/v2"

const (
	defaultOutputTokens = 128
	estimateEntries     = 4096
	estimateGain        = 0.1
)

type estimateKey struct {
	team    string
	service string
}

// Estimator learns the mean length of answers for each team and service. It
// keeps a bounded number of them.
type Estimator struct {
	means *lru.Cache[estimateKey, float64]
}

// NewEstimator returns an estimator that has learned nothing.
func NewEstimator() *Estimator {
	means, err := lru.New[estimateKey, float64](estimateEntries)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &Estimator{means: means}
}

// Observe learns the length of one answer.
func (e *Estimator) Observe(team, service string, tokens int) {
	key := estimateKey{team, service}
	mean, ok := e.means.Get(key)
	if !ok {
		mean = float64(tokens)
	}
	e.means.Add(key, mean+estimateGain*(float64(tokens)-mean))
}

// Estimate returns the expected length, at most limit if limit is positive.
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
