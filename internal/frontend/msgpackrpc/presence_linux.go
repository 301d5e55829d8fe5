package msgpackrpc

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP connection in which the peer has closed or reset it, as numbered by Linux.
const (
	tcpTimeWait  = 6
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// hasDisconnected reports whether the system knows that the peer has closed or reset a TCP connection. It is false if the system
// does not tell.
func hasDisconnected(peer net.Conn) (disconnected bool) {
	withSocket(peer, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		switch info.State {
		case tcpTimeWait, tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
			disconnected = true
		}
	})
	return disconnected
}

// unreadBytes returns the number of bytes that have arrived and are unread, 0 if the system does not tell.
func unreadBytes(peer net.Conn) (count int) {
	withSocket(peer, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil {
			count = n
		}
	})
	return count
}

// withSocket calls do with the descriptor of a connection, unless it has none or is closed.
func withSocket(peer net.Conn, do func(fd int)) {
	socket, ok := peer.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := socket.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { do(int(fd)) }) // fails only if the connection is closed
	}
}
