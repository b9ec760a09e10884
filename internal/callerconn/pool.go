// Package callerconn provides connections to callers whose writes do not block while the caller is slow, within a bound
// for each connection and one for all of them. What the socket does not take at once is copied to a buffer and sent as the
// caller reads on. A connection whose caller does not is reset, so that no response on it looks complete.
package callerconn

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Bounds of the buffers.
const (
	memoryShare   = 8         // of a host's memory, one in this many bytes is for all buffers together
	defaultMemory = 144 << 20 // of a host whose settings name no memory: the smallest in use
	maxConnBytes  = 1 << 20   // of one connection: several times the longest usual stream
	smallBytes    = 64 << 10  // held by one connection, for which room is made
	chunkBytes    = 8 << 10   // buffers grow by it
)

// Bound returns the bound of all buffers of a host in bytes, from its memory in MB. 0 or less means that the memory is not known.
func Bound(memoryMB int64) int64 {
	if memoryMB <= 0 {
		return defaultMemory / memoryShare
	}
	return memoryMB << 20 / memoryShare
}

// Pool is the memory for the buffers of all connections.
type Pool struct {
	bound int64
	used  atomic.Int64
	log   logrus.FieldLogger
	scope tally.Scope

	mu     sync.Mutex
	conns  map[*Conn]bool // that hold bytes
	closed bool
	stops  bool           // a planned stop closes the connections
	open   map[*Conn]bool // that the server has not closed
}

// NewPool returns a pool of bound bytes.
func NewPool(bound int64, log logrus.FieldLogger, scope tally.Scope) *Pool {
	return &Pool{bound: bound, log: log, scope: scope, conns: map[*Conn]bool{}, open: map[*Conn]bool{}}
}

// Used returns the bytes that are held for slow callers.
func (p *Pool) Used() int64 { return p.used.Load() }

// mayTake reports whether a connection that holds some bytes may take one more chunk. It may hold no more than is free, so
// that callers that read nothing do not take what others need for a moment.
func mayTake(held, bound, used int64) bool { return held+chunkBytes <= min(maxConnBytes, bound-used) }

// take takes one more chunk for a connection that holds some bytes, and reports whether there was room.
// An exempt connection may take what is free, whatever it holds.
func (p *Pool) take(held int64, exempt bool) bool {
	for {
		used := p.used.Load()
		if !mayTake(held, p.bound, used) && !(exempt && held < maxConnBytes && mayTake(0, p.bound, used)) {
			return false
		}
		if p.used.CompareAndSwap(used, used+chunkBytes) {
			p.scope.Gauge("caller_buffer_bytes").Update(float64(used + chunkBytes))
			return true
		}
	}
}

func (p *Pool) release(chunks int) {
	if chunks > 0 {
		p.scope.Gauge("caller_buffer_bytes").Update(float64(p.used.Add(-int64(chunks) * chunkBytes)))
	}
}

// add records a connection that begins to hold bytes. It returns false after Close.
func (p *Pool) add(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
	return !p.closed
}

func (p *Pool) remove(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// makeRoom resets the connection whose caller has read nothing for longest, if there is no room for a connection that holds
// little. It does nothing if that is the connection that needs the room.
func (p *Pool) makeRoom(needs *Conn, held int64, now time.Time) {
	if held > smallBytes || mayTake(held, p.bound, p.used.Load()) {
		return
	}
	var longest *Conn
	earliest := now.Add(-minIdle).UnixNano()
	p.mu.Lock()
	for c := range p.conns {
		if at := c.lastRead.Load(); at < earliest {
			longest, earliest = c, at
		}
	}
	p.mu.Unlock()
	if longest != nil && longest != needs {
		longest.stallIfIdleSince(earliest)
	}
}

// BeginStop is called before the server closes idle connections. On some of them, a request may just have arrived.
func (p *Pool) BeginStop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stops = true
}

// spares reports whether a connection is to be left open, as a request has arrived on it. The server may have read that and still
// take the connection for idle.
func (p *Pool) spares(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stops && (c.unanswered.Load() || c.arrived() > 0)
}

// Busy returns the number of open connections on which a request has arrived.
func (p *Pool) Busy() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.open {
		if c.used.Load() || c.arrived() > 0 {
			n++
		}
	}
	return n
}

func (p *Pool) opened(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c] = true
}

// forget removes a connection that the server has closed.
func (p *Pool) forget(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

// Close resets all connections that still hold bytes. It is called at the end of the process, when the kernel would close
// them as if their responses were complete.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	conns := make([]*Conn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		c.stall(reasonStopped)
	}
}
