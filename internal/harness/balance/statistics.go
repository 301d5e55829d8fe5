package balance

import (
	"math"
	"slices"
)

// Mean returns the mean of the values, 0 if there are none.
func Mean(values []float64) (sum float64) {
	for _, v := range values {
		sum += v
	}
	return sum / max(float64(len(values)), 1)
}

// Quantile returns the q-quantile of the values, 0 if there are none.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// Evenness returns where a measured figure lies between that of the random choice, 0, and that of the central choice, 1. It can
// lie outside that range, and is NaN if both choices have the same figure.
func Evenness(measured, random, central float64) float64 {
	if random == central {
		return math.NaN()
	}
	return (random - measured) / (random - central)
}

// LoadRange returns the lowest and the highest load relative to the mean, or zeros if the mean is 0.
func LoadRange(loads []float64) (lowest, highest float64) {
	mean := Mean(loads)
	if mean == 0 {
		return 0, 0
	}
	return slices.Min(loads) / mean, slices.Max(loads) / mean
}
