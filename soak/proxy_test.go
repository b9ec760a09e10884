package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// way is what a proxy does with what passes it.
type way int

const (
	pass    way = iota
	reset       // connections end with a reset, new ones at once
	silent      // nothing passes, nothing ends
	mute        // answers do not pass
	delayed     // each chunk of an answer comes late
)

// delayTime is the delay of a delayed way: above the time of an answer, below the
// daemon's timeouts.
const delayTime = 150 * time.Millisecond

// proxy passes connections on to an address, in the way it is told.
type proxy struct {
	address, to string
	listener    net.Listener
	mu          sync.Mutex
	way         way
	conns       map[*net.TCPConn]bool
}

func startProxy(t *testing.T, to string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{address: l.Addr().String(), to: to, listener: l, conns: map[*net.TCPConn]bool{}}
	go p.accept()
	t.Cleanup(func() {
		l.Close()
		p.set(reset)
	})
	return p
}

// set changes the way, also of connections that are open.
func (p *proxy) set(w way) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.way = w
	if w != reset {
		return
	}
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) now() way {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.way
}

func (p *proxy) keep(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *proxy) drop(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed at the end of the test
		}
		in := c.(*net.TCPConn)
		if p.now() == reset {
			_ = in.SetLinger(0)
			_ = in.Close()
			continue
		}
		out, err := net.Dial("tcp", p.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.keep(in)
		p.keep(out.(*net.TCPConn))
		go p.copy(out.(*net.TCPConn), in, false)
		go p.copy(in, out.(*net.TCPConn), true)
	}
}

func (p *proxy) copy(to, from *net.TCPConn, answers bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for w := p.now(); w == silent || w == mute && answers; w = p.now() {
			time.Sleep(20 * time.Millisecond)
		}
		if p.now() == delayed && answers {
			time.Sleep(delayTime)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			break
		}
	}
	p.drop(to)
	p.drop(from)
}
