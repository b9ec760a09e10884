// Package acceptretry provides a listener whose errors do not end its server: a process that has no file descriptors left for a
// moment, or a connection that fails before it is accepted, is no reason to end.
package acceptretry

import (
	"errors"
	"net"
	"time"

	"github.com/sirupsen/logrus"
)

// Delays after an error. A server that stops waits for the delay.
const (
	minDelay = 5 * time.Millisecond
	maxDelay = 80 * time.Millisecond
)

// errorsPerLine is the number of errors in a row for each log line after the first one: about 4 s.
const errorsPerLine = 50

// Listener accepts connections until it is closed.
type Listener struct {
	net.Listener
	Log logrus.FieldLogger
}

// Accept implements net.Listener. It fails only once the listener is closed.
func (l Listener) Accept() (net.Conn, error) {
	delay := minDelay
	for failed := 0; ; failed++ {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if failed%errorsPerLine == 0 {
			l.Log.WithFields(logrus.Fields{"event": "accept_failed", "address": l.Addr().String(), "failed": failed + 1}).Warn(err.Error())
		}
		time.Sleep(delay)
		delay = min(2*delay, maxDelay)
	}
}
