package routing

import (
	"sync"
)

const (
	// retryShare is the number of retries that each first try earns.
	retryShare = 0.2
	// retryReserve is the number of retries a service may always use.
	retryReserve = 20
)

// budget bounds the retries of one service to a share of its first tries, so
// that a lost owner does not multiply the load on the others.
type budget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

func newBudget() *budget {
	return &budget{tokens: make(map[string]float64)}
}

// earn credits a first try.
func (b *budget) earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.balance(service)+retryShare, retryReserve)
}

// spend takes one retry and reports whether the budget allowed it.
func (b *budget) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(service)
	if balance < 1 {
		return false
	}
	b.tokens[service] = balance - 1
	return true
}

func (b *budget) balance(service string) float64 {
	balance, ok := b.tokens[service]
	if !ok {
		return retryReserve
	}
	return balance
}
