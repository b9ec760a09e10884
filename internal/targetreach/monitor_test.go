package targetreach

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
)

// network is a network to ten targets that can be cut.
type network struct {
	cut   atomic.Pointer[string] // "hang", "refuse", or "refuse one" of the targets; nil or empty: not cut
	dials atomic.Int64
}

func (n *network) set(cut string) { n.cut.Store(&cut) }

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.dials.Add(1)
	cut := n.cut.Load()
	switch {
	case cut == nil || *cut == "" || *cut == "refuse one" && address != "0":
		conn, other := net.Pipe()
		_ = other.Close()
		return conn, nil
	case *cut == "hang":
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return nil, syscall.ECONNREFUSED
}

// start runs a monitor of the network in a synctest bubble, and uses it thirty times a second until the test ends.
func start(t *testing.T) (*Monitor, *network) {
	n := &network{}
	begin := time.Now()
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := New(Options{
		Addresses: func() []string { return []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"} },
		Dial:      n.dial, Now: func() time.Duration { return time.Since(begin) + time.Hour }, Log: log, OnChange: func() {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = m.Run(ctx) }()
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			go func() {
				ctx, cancel := context.WithTimeout(ctx, probeTimeout)
				defer cancel()
				if conn, err := m.Dial(ctx, "tcp", string(rune('0'+i%10))); err == nil {
					_ = conn.Close()
				}
			}()
			time.Sleep(33 * time.Millisecond)
		}
	}()
	t.Cleanup(func() { cancel(); time.Sleep(2 * time.Second) })
	return m, n
}

// TestCutIsNoticedWithinHalfASecond guards against a host that holds requests while it tries one target after the other.
func TestCutIsNoticedWithinHalfASecond(t *testing.T) {
	for _, cut := range []string{"hang", "refuse"} {
		synctest.Test(t, func(t *testing.T) {
			m, n := start(t)
			time.Sleep(5 * time.Second)
			stopped := make(chan struct{})
			m.OnCutOff(func() { close(stopped) })
			n.set(cut)
			time.Sleep(500 * time.Millisecond)
			if _, cutOff := m.CutOff(); !cutOff || m.Direct() {
				t.Fatalf("%s: not noticed after 500 ms", cut)
			}
			<-stopped
			n.set("")
			time.Sleep(500 * time.Millisecond)
			if _, cutOff := m.CutOff(); cutOff {
				t.Errorf("%s: its end is not noticed after 500 ms", cut)
			}
			time.Sleep(9 * time.Second)
			if !m.Direct() {
				t.Errorf("%s: requests do not go directly 9 s after its end", cut)
			}
		})
	}
}

// TestOneLostTargetIsNoCut is the control: one of ten targets refuses connections.
func TestOneLostTargetIsNoCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, n := start(t)
		time.Sleep(time.Second)
		n.set("refuse one")
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			if _, cutOff := m.CutOff(); cutOff || !m.Direct() {
				t.Fatal("taken for a cut")
			}
		}
		if !m.Confirm(t.Context(), m.opts.Now()) {
			t.Error("a failure at the lost target is taken for one of this host's way")
		}
	})
}

// TestNothingIsProbedWhileNothingFails limits the connections to targets.
func TestNothingIsProbedWhileNothingFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, n := start(t)
		time.Sleep(10 * time.Second)
		if dials := n.dials.Load(); dials > 305 {
			t.Errorf("%d connections for 303 requests", dials)
		}
	})
}

// TestFailuresBehindACutAreNotConfirmed guards against reporting that targets crashed that the host merely lost.
func TestFailuresBehindACutAreNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, n := start(t)
		time.Sleep(time.Second)
		n.set("refuse")
		if m.Confirm(t.Context(), m.opts.Now()) {
			t.Error("confirmed")
		}
	})
}
