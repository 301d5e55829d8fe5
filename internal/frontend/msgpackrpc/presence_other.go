//go:build !linux

package msgpackrpc

import "net"

// hasDisconnected reports false: the end of a connection is noticed by reading.
func hasDisconnected(net.Conn) bool { return false }

// unreadBytes returns 0.
func unreadBytes(net.Conn) int { return 0 }
