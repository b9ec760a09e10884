package coordinator

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// longView returns a view with a number of engines that hold model m, of a service with memory.
func longView(now *time.Duration, copies int, kv int64) *FleetView {
	f := NewFleetView("", func() time.Duration { return *now })
	f.SetConfig(&fleet.Config{Services: map[string]fleet.Service{"s": {Engine: &fleet.EngineSpec{KVTokens: kv, Slots: 24}}},
		Routes: []fleet.Route{{Kind: fleet.Streaming, Objective: 450 * time.Millisecond, Destinations: []fleet.Destination{{Service: "s"}}}}})
	targets := map[string]fleet.Target{}
	for i := range copies {
		id := fmt.Sprint("e", i)
		targets[id] = fleet.Target{ID: id, Service: "s", Slots: 24, Models: map[string][]string{"m": nil}}
	}
	f.SetTargets(fleet.NewTargets(targets))
	return f
}

func shareOfPicks(f *FleetView, p Prompt, id string) float64 {
	const picks = 400
	n := 0
	for range picks {
		if c, ok := f.Pick(Requirements{Service: "s", Model: "m", Prompt: p}); ok && c.Target.ID == id {
			n++
		}
	}
	return float64(n) / picks
}

// TestLongPromptsGoToTheReaderCopy guards against hosts that send long prompts of one model to different engines, against short
// requests behind them, and against long prompts that stay at an engine which has too many.
func TestLongPromptsGoToTheReaderCopy(t *testing.T) {
	now := time.Hour
	f, other := longView(&now, 4, 208_516), longView(&now, 4, 208_516)
	long, short := Prompt{Tokens: 9190}, Prompt{Tokens: 650}
	c, _ := f.Pick(Requirements{Service: "s", Model: "m", Prompt: long})
	for c.ReaderPlace != 1 {
		c, _ = f.Pick(Requirements{Service: "s", Model: "m", Prompt: long})
	}
	reader := c.Target.ID
	if a, b := shareOfPicks(f, long, reader), shareOfPicks(other, long, reader); a < 0.75 || b < 0.75 || c.Prefill < 200*time.Millisecond {
		t.Errorf("%.2f and %.2f of the long prompts go to the reader copy, expected prefill %v", a, b, c.Prefill)
	}
	if share := shareOfPicks(f, short, reader); share < 0.15 || share > 0.35 {
		t.Errorf("%.2f of the short requests go to the reader copy without long prompts, want a quarter", share)
	}
	f.RecordPrompt(c.Target, long)
	if share := shareOfPicks(f, short, reader); share > 0.1 {
		t.Errorf("%.2f of the short requests go to the reader copy beside long prompts", share)
	}
	for range 20 {
		f.RecordPrompt(c.Target, long)
	}
	if share := shareOfPicks(f, long, reader); share > 0.5 {
		t.Errorf("%.2f of the long prompts go to a reader copy that has too many", share)
	}
	now += time.Minute
	if share := shareOfPicks(f, short, reader); share < 0.15 {
		t.Errorf("%.2f of the short requests go to the reader copy a minute after the last long prompt", share)
	}
}

// TestLongPromptsWithoutOtherCopies covers models with one copy, and services that state no memory: they are served as before.
func TestLongPromptsWithoutOtherCopies(t *testing.T) {
	now := time.Hour
	for _, c := range []struct {
		copies int
		kv     int64
	}{{1, 208_516}, {4, 0}} {
		f := longView(&now, c.copies, c.kv)
		for range 20 {
			choice, ok := f.Pick(Requirements{Service: "s", Model: "m", Prompt: Prompt{Tokens: 57_000}})
			if !ok || choice.ReaderPlace != 0 || choice.Prefill != 0 {
				t.Fatalf("%+v: %+v, want a choice as before", c, choice)
			}
			f.RecordPrompt(choice.Target, Prompt{Tokens: 57_000})
		}
		if c.kv == 0 && len(f.takeLongSent()) > 0 {
			t.Errorf("%+v: long prefills are reported", c)
		}
	}
}

// TestLongLoadsReachOtherHosts covers the loads in the messages, also beside hosts of the earlier version, which neither report nor
// receive them, and values that no host can mean.
func TestLongLoadsReachOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryHosts(t, 4, "h1")
		for _, client := range m.clients {
			config := *client.opts.FleetView.Config()
			config.Routes = []fleet.Route{{Kind: fleet.Streaming, Objective: 450 * time.Millisecond, Destinations: []fleet.Destination{{Service: "s"}}}}
			client.opts.FleetView.SetConfig(&config)
		}
		time.Sleep(2 * time.Second)
		e0, _ := m.clients["h2"].opts.FleetView.Target("e0")
		for range 4 {
			m.clients["h2"].opts.FleetView.RecordPrompt(e0, Prompt{Tokens: 9190})
		}
		time.Sleep(2*reportInterval + 100*time.Millisecond) // the reports of both hosts
		for _, host := range []string{"h0", "h3"} {
			f := m.clients[host].opts.FleetView
			f.mu.Lock()
			if p := f.promptPenalty(promptPlan{}, "e0"); p < 5 {
				t.Errorf("host %s: penalty %v for short requests beside the long prompts of another host", host, p)
			}
			f.mu.Unlock()
		}
	})
	c, now := testCoordinator()
	c.fleetView.SetTargets(fleet.NewTargets(map[string]fleet.Target{"e": {ID: "e"}}))
	c.Report("a", Report{Incarnation: "1", Full: true, LongPrefills: map[string]float64{"e": -5, "unknown": 100}})
	if u := c.Report("a", Report{Incarnation: "1", LongPrefills: map[string]float64{"e": 1e12}}); len(u.LongLoads) > 0 {
		t.Errorf("loads %v from values that no host can mean", u.LongLoads)
	}
	c.Report("a", Report{Incarnation: "1", LongPrefills: map[string]float64{"e": 400}})
	*now += 10 * time.Second
	if u := c.Report("b", Report{Incarnation: "1", Full: true}); len(u.LongLoads) > 0 {
		t.Errorf("loads %v of long ago", u.LongLoads)
	}
	var u Update
	if err := json.Unmarshal([]byte(`{"n":3}`), &u); err != nil || u.LongLoads != nil || u.MemoryEpoch != 0 {
		t.Errorf("an update of the earlier version: %v, %+v", err, u)
	}
}
