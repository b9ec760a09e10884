package streamorigin

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/peer"
)

type handlers map[string]peer.Handler

func (h handlers) Handle(method string, f peer.Handler) { h[method] = f }

// FuzzMessages guards against a message of another host that ends the process.
func FuzzMessages(f *testing.F) {
	for _, message := range []string{`[{}]`, `[{"a":"x","s":"s","v":"1"}]`, `{"s":"s","a":"x"}`, `null`, `[]`, `7`, `{`} {
		f.Add([]byte(message))
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	began := time.Now()
	f.Fuzz(func(t *testing.T, data []byte) {
		r := New(Options{Self: "a", Hosts: func() []string { return []string{"a"} }, Targets: func() fleet.Dated[*fleet.Targets] { return fleet.Dated[*fleet.Targets]{Copy: fleet.NewTargets(nil)} },
			Now: func() time.Duration { return time.Since(began) }, Log: log})
		registered := handlers{}
		r.Register(registered)
		for _, handle := range registered {
			_, _ = handle(context.Background(), peer.ID{Name: "h"}, json.RawMessage(data)) // malformed messages are refused
		}
	})
}
