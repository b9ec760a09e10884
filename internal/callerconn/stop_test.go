package callerconn

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"
)

// TestStopSparesARequestThatWasRead guards against a planned stop that closes a kept connection whose next request has been read but not
// answered: the server takes it for idle until it has parsed the request. An idle connection is closed.
func TestStopSparesARequestThatWasRead(t *testing.T) {
	log, _ := test.NewNullLogger()
	pool := NewPool(1<<20, log, tally.NoopScope)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := Listener{Listener: tcp, Pool: pool}
	t.Cleanup(func() { _ = l.Close() })
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	const request, response = "request", "response"
	exchange := func(respond bool) {
		_, _ = io.WriteString(caller, request)
		if _, err := io.ReadFull(conn, make([]byte, len(request))); err != nil {
			t.Fatal(err)
		}
		if respond {
			_, _ = io.WriteString(conn, response)
			_, _ = io.ReadFull(caller, make([]byte, len(response)))
		}
	}
	exchange(true)
	exchange(false)
	pool.BeginStop()
	_ = conn.Close() // as the server does with idle connections
	_, _ = io.WriteString(conn, response)
	_ = caller.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(caller, make([]byte, len(response))); err != nil {
		t.Errorf("the second request got no response: %v", err)
	}
	_ = conn.Close()
	if _, err := caller.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read after the response: %v, want the end of the connection", err)
	}
}
