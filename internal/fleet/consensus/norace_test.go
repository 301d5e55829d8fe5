//go:build !race

package consensus

const slow = false
