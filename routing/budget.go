package routing

import (
	"sync"
)

const (
	// retriesPerRequest is the number of retries that each first attempt adds to
	// the balance.
	retriesPerRequest = 0.2
	// maxRetryBalance is the initial and the maximum balance of a service.
	maxRetryBalance = 20
)

// retryBudget limits the retries of each service to a share of its first
// attempts, so that the loss of an owner does not multiply the load on the others.
type retryBudget struct {
	mu       sync.Mutex
	balances map[string]float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{balances: make(map[string]float64)}
}

// deposit credits one first attempt of the service.
func (b *retryBudget) deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balances[service] = min(b.balance(service)+retriesPerRequest, maxRetryBalance)
}

// tryWithdraw takes one retry from the balance and reports whether the budget
// allows it.
func (b *retryBudget) tryWithdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(service)
	if balance < 1 {
		return false
	}
	b.balances[service] = balance - 1
	return true
}

// balance returns the balance of the service. The caller holds b.mu.
func (b *retryBudget) balance(service string) float64 {
	balance, ok := b.balances[service]
	if !ok {
		return maxRetryBalance
	}
	return balance
}
