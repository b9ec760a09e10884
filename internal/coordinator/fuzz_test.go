package coordinator

import (
	"context"
	"encoding/json"
	"testing"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/peer"
)

// handlers collects the methods that are registered.
type handlers map[string]peer.Handler

func (h handlers) Handle(method string, f peer.Handler) { h[method] = f }

// okCaller responds to each call with an empty result.
type okCaller struct{}

func (okCaller) Call(context.Context, string, string, any, any) error { return nil }

// FuzzMessages guards against a message of another host that ends the process: at once, or when the coordinator plans with it.
func FuzzMessages(f *testing.F) {
	for _, message := range []string{
		`{"i":"x","f":true,"w":[{"s":"s","m":"a","n":-1,"w":[-5,9223372036854775807]}],"r":[{"s":"s","m":"a","n":-7}],"a":[{"s":"s","m":"a","n":-1}],"u":{"t":-1e300},"o":[{"id":"e1"},{}]}`,
		`{"w":[{}],"r":[{}],"a":[{}],"o":[{}],"x":["","a:b",":"],"cp":{},"tl":[{}],"lt":[{}],"bs":[""],"sh":{"":-1},"d":[""],"k":true,"cv":{}}`,
		`{"e":[{},{"i":"e1","m":[""],"a":{"":null},"t":-1}],"u":{"":1},"ue":1,"ub":{"":-1},"n":-1,"l":[""],"z":[""],"r":{"":-1},"k":[{}],"cp":{},"tl":[{}],"lt":[{}],"sl":{"":-1},"v":{"a":-1,"t":-1,"u":[""],"n":{}},"c":"","q":true}`,
		`{"i":1,"e":"e1","u":[""],"l":"","s":-9}`, `{}`, `null`, `[]`, `"x"`, `{`,
	} {
		f.Add([]byte(message))
	}
	config := &fleet.Config{Version: 1, Services: map[string]fleet.Service{"s": {Engine: &fleet.EngineSpec{Slots: 8, CapacityMB: 150, Models: map[string]fleet.Model{"a": {SizeMB: 70}, "b": {SizeMB: 70}}}}}}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, now := testCoordinator()
		c.calls = okCaller{}
		client := testClient("c", fleet.Host{Name: "c"}, fleet.Host{Name: "h"})
		client.opts.Coordinator = c
		for _, view := range []*FleetView{c.fleetView, client.opts.FleetView} {
			view.SetConfig(config)
			setListed(view, true)
		}
		registered := handlers{}
		c.Register(registered)
		client.Register(registered)
		for range 2 {
			for _, handle := range registered {
				_, _ = handle(t.Context(), peer.ID{Name: "h"}, json.RawMessage(data)) // malformed messages are refused
			}
			*now += ownReportDelay
			c.step(t.Context())
		}
	})
}
