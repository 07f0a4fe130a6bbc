package limits

import (
	"math"
	"slices"
)

// maxMinShares divides an amount among demands with max-min fairness: no demand
// gets more than it needs while another gets less than it needs. What remains
// when all demands are met is divided evenly. The result is in the order of the
// demands.
func maxMinShares(amount float64, demands []float64) []float64 {
	shares := make([]float64, len(demands))
	if len(demands) == 0 {
		return shares
	}
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if demands[a] < demands[b] {
			return -1
		}
		if demands[a] > demands[b] {
			return 1
		}
		return 0
	})
	remaining := amount
	for n, i := range order {
		evenShare := remaining / float64(len(order)-n)
		shares[i] = min(demands[i], evenShare)
		remaining -= shares[i]
	}
	for i := range shares {
		shares[i] += max(0, remaining) / float64(len(shares))
	}
	return shares
}

// roundUpWithin rounds a share of an indivisible quantity up to whole units, but
// not beyond the whole units available.
func roundUpWithin(share, available float64) float64 {
	return max(0, min(math.Ceil(share), math.Floor(available)))
}
