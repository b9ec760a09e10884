package peer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const testSecret = "a secret of the peers"

type oneAddress string

func (a oneAddress) PeerAddress(string) (string, bool) { return string(a), true }

func startServer(t *testing.T) (*Server, net.Listener) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := NewServer(ID{Name: "b", Incarnation: "1"}, testSecret, log, tally.NoopScope)
	s.Handle("test.echo", func(_ context.Context, from ID, params json.RawMessage) (any, error) {
		var text string
		if err := json.Unmarshal(params, &text); err != nil {
			return nil, err
		}
		return from.Name + ":" + text, nil
	})
	s.Handle("test.fail", func(context.Context, ID, json.RawMessage) (any, error) {
		return nil, &HandlerError{Code: "short", Message: "no tokens"}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = s.Serve(ctx, l) }()
	return s, l
}

func TestCall(t *testing.T) {
	_, l := startServer(t)
	c := NewClient(ID{Name: "a", Incarnation: "1"}, testSecret, oneAddress(l.Addr().String()), tally.NoopScope)
	defer c.Close()
	var reply string
	if err := c.Call(context.Background(), "b", "test.echo", "hello", &reply); err != nil || reply != "a:hello" {
		t.Fatalf("reply %q, error %v", reply, err)
	}
	var remote *RemoteError
	if err := c.Call(context.Background(), "b", "test.fail", nil, nil); !errors.As(err, &remote) || remote.Code != "short" {
		t.Fatalf("want RemoteError with code short, got %v", err)
	}
}

func TestWrongSecretIsRefused(t *testing.T) {
	_, l := startServer(t)
	c := NewClient(ID{Name: "a", Incarnation: "1"}, "another secret", oneAddress(l.Addr().String()), tally.NoopScope)
	defer c.Close()
	var unreachable *UnreachableError
	if err := c.Call(context.Background(), "b", "test.echo", "hello", nil); !errors.As(err, &unreachable) {
		t.Fatalf("want UnreachableError, got %v", err)
	}
}

// TestReplayedProofIsRefused sends a proof that was made for another session.
func TestReplayedProofIsRefused(t *testing.T) {
	s := &session{server: NewServer(ID{Name: "b"}, testSecret, logrus.New(), tally.NoopScope)}
	caller := helloParams{ID: ID{Name: "a"}, Nonce: "n1"}
	data, err := json.Marshal(caller)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.hello(data); err != nil {
		t.Fatal(err)
	}
	old := proof(testSecret, "caller", caller, helloParams{ID: ID{Name: "b"}, Nonce: "nonce of another session"})
	data, err = json.Marshal(proveParams{Proof: old})
	if err != nil {
		t.Fatal(err)
	}
	var handshake *HandshakeError
	if _, err := s.prove(data); !errors.As(err, &handshake) {
		t.Fatalf("want HandshakeError, got %v", err)
	}
	if _, err := s.authenticated(); err == nil {
		t.Fatal("the session is authenticated")
	}
}

func TestOversizedMessageClosesConnection(t *testing.T) {
	_, l := startServer(t)
	c := NewClient(ID{Name: "a", Incarnation: "1"}, testSecret, oneAddress(l.Addr().String()), tally.NoopScope)
	defer c.Close()
	err := c.Call(context.Background(), "b", "test.echo", strings.Repeat("x", MaxMessageBytes+1), nil)
	var lost *UnknownOutcomeError
	if !errors.As(err, &lost) {
		t.Fatalf("want UnknownOutcomeError, got %v", err)
	}
	if err := c.Call(context.Background(), "b", "test.echo", "again", nil); err != nil {
		t.Fatalf("no new connection: %v", err)
	}
}

// TestUnresponsiveConnectionIsReplaced connects through a relay that stops forwarding on
// open connections, but still forwards on new ones.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	_, l := startServer(t)
	relay, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	var silent atomic.Int64 // connections up to this number forward nothing
	go func() {
		for n := int64(1); ; n++ {
			in, err := relay.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				return
			}
			forward := func(to, from net.Conn) {
				buf := make([]byte, 1024)
				for {
					k, err := from.Read(buf)
					if err != nil {
						to.Close()
						return
					}
					if n > silent.Load() {
						_, _ = to.Write(buf[:k])
					}
				}
			}
			go forward(out, in)
			go forward(in, out)
		}
	}()
	c := NewClient(ID{Name: "a", Incarnation: "1"}, testSecret, oneAddress(relay.Addr().String()), tally.NoopScope)
	defer c.Close()
	if err := c.Call(context.Background(), "b", "test.echo", "x", nil); err != nil {
		t.Fatal(err)
	}
	silent.Store(1)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	var lost *UnknownOutcomeError
	if err := c.Call(ctx, "b", "test.echo", "x", nil); !errors.As(err, &lost) {
		t.Fatalf("want UnknownOutcomeError, got %v", err)
	}
	if err := c.Call(context.Background(), "b", "test.echo", "x", nil); err != nil {
		t.Fatalf("no new connection after an unresponsive one: %v", err)
	}
}
