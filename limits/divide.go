package limits

import (
	"math"
	"slices"
)

// divide spreads an amount over demands: nobody gets more than it asks for
// while another gets less (max-min fairness). What is left when all demands
// are met is spread evenly. The result is in the order of the demands.
func divide(amount float64, demands []float64) []float64 {
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
	left := amount
	for n, i := range order {
		even := left / float64(len(order)-n)
		shares[i] = min(demands[i], even)
		left -= shares[i]
	}
	for i := range shares {
		shares[i] += max(0, left) / float64(len(shares))
	}
	return shares
}

// wholeUnits rounds a share of something that has no fractions up, as long as
// free units are left.
func wholeUnits(share, free float64) float64 {
	return max(0, min(math.Ceil(share), math.Floor(free)))
}
