package balance

import (
	"math"
	"slices"
)

// Mean is that of the values, 0 of none.
func Mean(values []float64) (sum float64) {
	for _, v := range values {
		sum += v
	}
	return sum / max(float64(len(values)), 1)
}

// Quantile is the value that a share of them does not pass, 0 of none.
func Quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

// Evenness is where a figure lies between the random choice, 0, and the central one, 1; it may lie beyond either.
func Evenness(measured, random, central float64) float64 {
	if random == central {
		return math.NaN()
	}
	return (random - measured) / (random - central)
}

// LoadRange is the least and the most of some loads over their mean.
func LoadRange(loads []float64) (least, most float64) {
	mean := Mean(loads)
	if mean == 0 {
		return 0, 0
	}
	return slices.Min(loads) / mean, slices.Max(loads) / mean
}
