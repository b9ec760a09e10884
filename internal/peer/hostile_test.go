package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/panics"
)

// TestPanicOfHandlerIsContained guards against one message ending the process.
func TestPanicOfHandlerIsContained(t *testing.T) {
	panics.Contain()
	s, l := startServer(t)
	s.Handle("test.panic", func(context.Context, ID, json.RawMessage) (any, error) { panic("an index out of range") })
	c := NewClient(ID{Name: "a", Incarnation: "1"}, testSecret, oneAddress(l.Addr().String()), tally.NoopScope)
	defer c.Close()
	var remote *RemoteError
	if err := c.Call(t.Context(), "b", "test.panic", nil, nil); !errors.As(err, &remote) || remote.Code != "panicked" {
		t.Errorf("got %v, want RemoteError with code panicked", err)
	}
	var reply string
	if err := c.Call(t.Context(), "b", "test.echo", "next", &reply); err != nil || reply != "a:next" {
		t.Errorf("next call: %q, %v", reply, err)
	}
}

// frame returns a message as it is sent.
func frame(message string) []byte {
	var out bytes.Buffer
	_ = codec{}.WriteObject(&out, json.RawMessage(message)) // of valid JSON, to memory
	return out.Bytes()
}

// FuzzServer guards against bytes of another host that end the process, or keep the server from serving others.
func FuzzServer(f *testing.F) {
	for _, message := range []string{`{"jsonrpc":"2.0","id":1,"method":"peer.hello","params":{"id":{"name":"a"},"nonce":"n"}}`, `{"jsonrpc":"2.0","id":1,"result":null}`,
		`{"jsonrpc":"2.0","id":1,"error":{"code":1}}`, `{"jsonrpc":"2.0"}`, `[]`, `null`, `[{"id":1},null]`, `{"id":{},"method":7}`} {
		f.Add(frame(message))
		f.Add(append(frame(message), frame(message)...))
	}
	f.Add([]byte{})
	f.Add([]byte{0})
	f.Add([]byte{5, '{', '}'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewServer(ID{Name: "b"}, testSecret, log, tally.NoopScope)
		ours, theirs := net.Pipe()
		s.serveConn(t.Context(), theirs)
		_ = ours.SetDeadline(time.Now().Add(time.Second))
		go func() { _, _ = io.Copy(io.Discard, ours) }() // replies
		_, _ = ours.Write(data)                          // fails once the server has closed the connection
		ours.Close()
	})
}
