package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// proxyMode is how a proxy treats connections and the bytes it receives on them.
type proxyMode int

const (
	modeForward        proxyMode = iota
	modeReset                    // open and new connections are reset
	modeStall                    // nothing is forwarded, connections stay open
	modeStallResponses           // responses are not forwarded
	modeDelayResponses           // each chunk of a response is delayed by responseDelay
)

// responseDelay is longer than a response usually takes and shorter than the
// daemon's timeouts.
const responseDelay = 150 * time.Millisecond

// proxy forwards TCP connections to an upstream address and simulates network
// faults.
type proxy struct {
	address, upstream string
	listener          net.Listener
	mu                sync.Mutex
	mode              proxyMode
	conns             map[*net.TCPConn]bool
}

func startProxy(t *testing.T, upstream string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{address: listener.Addr().String(), upstream: upstream, listener: listener, conns: map[*net.TCPConn]bool{}}
	go p.accept()
	t.Cleanup(func() {
		listener.Close()
		p.setMode(modeReset)
	})
	return p
}

// setMode changes the mode of the proxy, which also applies to open connections.
func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode != modeReset {
		return
	}
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) addConn(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = true
}

func (p *proxy) closeConn(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed at the end of the test
		}
		client := c.(*net.TCPConn)
		if p.currentMode() == modeReset {
			_ = client.SetLinger(0)
			_ = client.Close()
			continue
		}
		server, err := net.Dial("tcp", p.upstream)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.addConn(client)
		p.addConn(server.(*net.TCPConn))
		go p.copy(server.(*net.TCPConn), client, false)
		go p.copy(client, server.(*net.TCPConn), true)
	}
}

func (p *proxy) copy(to, from *net.TCPConn, responses bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for mode := p.currentMode(); mode == modeStall || mode == modeStallResponses && responses; mode = p.currentMode() {
			time.Sleep(20 * time.Millisecond)
		}
		if p.currentMode() == modeDelayResponses && responses {
			time.Sleep(responseDelay)
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
	p.closeConn(to)
	p.closeConn(from)
}
