package peer

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// repeatFrames passes on the messages of a server, each a second time before the next one.
func repeatFrames(t *testing.T, server string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		client, err := l.Accept()
		if err != nil {
			return // closed at the end of the test
		}
		upstream, err := net.Dial("tcp", server)
		if err != nil {
			t.Error(err)
			return
		}
		go func() {
			in := bufio.NewReader(client)
			for {
				b, err := in.ReadByte()
				if err != nil {
					upstream.Close()
					return
				}
				_, _ = upstream.Write([]byte{b}) // a closed connection ends the other direction too
			}
		}()
		in, last := bufio.NewReader(upstream), json.RawMessage(nil)
		for {
			var message json.RawMessage
			if (codec{}).ReadObject(in, &message) != nil {
				client.Close()
				return
			}
			for _, m := range []json.RawMessage{last, message} {
				if m != nil {
					_ = codec{}.WriteObject(client, m) // as above
				}
			}
			last = message
		}
	}()
	return l.Addr().String()
}

// TestLateSecondResponseOfPeer guards against the second copy of a host's response counting as the response to the next call.
func TestLateSecondResponseOfPeer(t *testing.T) {
	server := NewServer(ID{Name: "b"}, "s", logrus.New(), tally.NoopScope)
	server.Handle("test.echo", func(_ context.Context, _ ID, params json.RawMessage) (any, error) { return params, nil })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(t.Context(), l) }() // ends with the test
	client := NewClient(ID{Name: "a"}, "s", oneAddress(repeatFrames(t, l.Addr().String())), tally.NoopScope)
	defer client.Close()
	for want := range 5 {
		got := -1
		if err := client.Call(t.Context(), "b", "test.echo", want, &got); err != nil || got != want {
			t.Errorf("call %d got the response to call %d, %v", want, got, err)
		}
	}
}
