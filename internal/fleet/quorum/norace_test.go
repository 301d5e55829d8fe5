//go:build !race

package quorum

const slow = false
