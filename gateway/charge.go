package gateway

import "time"

// charge is what a request has taken of its team's limit.
type charge struct {
	amount float64
	// at is when it was taken, zero if nothing is charged.
	at time.Time
}

// takeAllowance charges the request to its team's limit.
func (x *exchange) takeAllowance() *errorResponse {
	if x.team == nil || x.team.Rate <= 0 {
		return nil
	}
	amount := 1.0
	if x.team.ByTokens {
		amount = x.team.DefaultTokens
		if x.call.HasTokens {
			amount = float64(x.call.PromptTokens + x.call.OutputTokens)
		}
	}
	if retryAfter, ok := x.gateway.Allowance.Take(x.team, amount); !ok {
		return errLimitExceeded(retryAfter)
	}
	x.charge = charge{amount, time.Now()}
	return nil
}

// returnCharge refunds the charge of a request that has ended, and returns the refunded
// amount. Under overload, callers send refused requests again; if each send stayed
// charged, teams within their limits would get 429. Nothing is refunded if any byte of the
// request may have reached a target that has not stated that it did not run it.
func (x *exchange) returnCharge() float64 {
	c := x.charge
	if c.at.IsZero() || x.possibleRuns > 0 || x.sending || x.standby != nil {
		return 0
	}
	x.charge = charge{}
	x.gateway.Allowance.Return(x.team, c.amount, c.at)
	return c.amount
}
