package callerconn

import (
	"net"
	"syscall"
)

// tcpNotSentLowAt is the Linux socket option TCP_NOTSENT_LOWAT, in bytes.
const tcpNotSentLowAt = 25

// maxUnsentBytes limits what the kernel holds of a connection beyond what the caller's receive window lets it send.
const maxUnsentBytes = 32 << 10

// Listener accepts connections of callers.
type Listener struct {
	net.Listener
	Pool *Pool
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil // of a test, without a buffer
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return accepted, nil // closed already, as its first use shows
	}
	_ = raw.Control(func(fd uintptr) { // without the option, the kernel holds more
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpNotSentLowAt, maxUnsentBytes)
	})
	c := &Conn{Conn: tcp, raw: raw, pool: l.Pool, progress: make(chan struct{}, 1)}
	c.once = c.writeOnce
	l.Pool.opened(c)
	return c, nil
}
