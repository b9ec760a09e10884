package peer

import (
	"net"

	"github.com/uber-go/tally/v4"
)

// traffic counts the bytes of peer connections.
type traffic struct {
	in  tally.Counter
	out tally.Counter
}

func newTraffic(scope tally.Scope) traffic {
	s := scope.SubScope("peer")
	return traffic{in: s.Counter("bytes_received"), out: s.Counter("bytes_sent")}
}

// countedConn counts the bytes read from and written to a connection.
type countedConn struct {
	net.Conn
	traffic traffic
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Inc(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Inc(int64(n))
	return n, err
}

// callCounter counts calls by method.
func callCounter(scope tally.Scope, method string) tally.Counter {
	return scope.SubScope("peer").Tagged(map[string]string{"method": method}).Counter("calls")
}
