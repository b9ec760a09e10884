package acceptretry

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus/hooks/test"
)

// failing is a listener whose first accepts fail.
type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Addr() net.Addr { return &net.TCPAddr{} }

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		conn, _ := net.Pipe()
		return conn, nil
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, err
}

// TestErrorsAreRetried guards against an error of accept, such as a lack of file descriptors, ending a server and with it the process.
func TestErrorsAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, hook := test.NewNullLogger()
		var errs []error
		for range 40 {
			errs = append(errs, &net.OpError{Op: "accept", Err: syscall.EMFILE}, &net.OpError{Op: "accept", Err: syscall.ENOBUFS}, syscall.EPERM)
		}
		l := Listener{&failing{errs: errs}, log}
		if conn, err := l.Accept(); conn == nil || err != nil {
			t.Errorf("%v, %v, want a connection", conn, err)
		}
		if n := len(hook.Entries); n != 3 {
			t.Errorf("%d log lines for %d errors, want 3", n, len(errs))
		}
		l = Listener{&failing{errs: []error{syscall.EMFILE, net.ErrClosed}}, log}
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("a closed listener: %v", err)
		}
	})
}
