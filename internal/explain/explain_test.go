package explain

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const logs = `  1.0 h1 {"event":"request","host":"h1","id":"other","model":"n","status":200,"target":"e9","time":"2026-01-01T00:00:01.000Z","took_ms":20}
not a log line
  2.0 h2 {"event":"move_planned","host":"h2","load":"m","engine":"e1","move":7,"time":"2026-01-01T00:00:01.500Z"}
  2.1 h3 {"event":"order","host":"h3","model":"m","engine":"e1","outcome":"accepted","time":"2026-01-01T00:00:01.600Z"}
  2.2 h3 {"event":"order","host":"h3","model":"x","engine":"e5","outcome":"accepted","time":"2026-01-01T00:00:01.700Z"}
  2.5 h1 {"event":"store_lost","host":"h1","kind":"config","time":"2026-01-01T00:00:02.000Z"}
  3.0 h1 {"event":"request","host":"h1","id":"a1","model":"m/a2","status":200,"target":"e1","chosen_ms":900,"time":"2026-01-01T00:00:02.500Z","took_ms":1200}
  9.0 h2 {"event":"move_planned","host":"h2","load":"m","engine":"e1","move":8,"time":"2026-01-01T00:00:09.000Z"}
`

func TestExplainRequest(t *testing.T) {
	var out bytes.Buffer
	if err := Explain(strings.NewReader(logs), &out, "a1"); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "story", out.Bytes())
}

func TestExplainUnknownID(t *testing.T) {
	var missing *NotFoundError
	if err := Explain(strings.NewReader(logs), &bytes.Buffer{}, "nobody"); !errors.As(err, &missing) {
		t.Errorf("got %v", err)
	}
}

// TestExplainTellsWhyATargetWasPassedOver guards against a story without what targets had said about themselves before the
// request came: that one leaves, wants quiet, names a limit, is brittle or
// cold, and that a permit was denied.
func TestExplainTellsWhyATargetWasPassedOver(t *testing.T) {
	const before = `{"event":"target_leaving","host":"h1","target":"e1@0","age_ms":0,"time":"2026-01-01T00:00:10.000Z"}
{"event":"target_quiet","host":"h1","target":"e2@0","quiet_ms":25000,"time":"2026-01-01T00:00:12.000Z"}
{"event":"target_limit","host":"h1","target":"e3@0","limit":2,"time":"2026-01-01T00:00:11.000Z"}
{"event":"target_cold","host":"h1","target":"e6@0","cold_ms":3000,"time":"2026-01-01T00:00:28.000Z"}
{"event":"permit_denied","host":"h1","id":"a1","target":"e6","cause":"short","time":"2026-01-01T00:00:29.950Z"}
{"event":"service_brittle","host":"h1","service":"llm","time":"2026-01-01T00:00:29.000Z"}
{"event":"target_quiet","host":"h2","target":"e4@0","quiet_ms":100,"time":"2025-12-31T23:59:00.000Z"}
{"event":"request","host":"h1","id":"a1","model":"m","status":200,"target":"e5","time":"2026-01-01T00:00:30.000Z","took_ms":100}
`
	var out bytes.Buffer
	if err := Explain(strings.NewReader(before), &out, "a1"); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"target=e1@0", "target=e2@0", "target=e3@0", "service_brittle", "target=e6@0", "cause=short"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no line with %s", want)
		}
	}
	if strings.Contains(out.String(), "e4@0") {
		t.Error("the story has a line of a minute and a half before")
	}
}

// TestExplainTellsWhichHomesBoundARequest guards against a story without the reason of a detour to another region or of a refusal. The
// control are the homes of other routes, and what other hosts logged of the same one.
func TestExplainTellsWhichHomesBoundARequest(t *testing.T) {
	const lines = `{"event":"homes_unknown","host":"h1","route":"r1","homes":"eu,mars","unknown":"mars","time":"2026-01-01T00:00:01.000Z"}
{"event":"homes_unknown","host":"h1","route":"r2","homes":"venus","unknown":"venus","time":"2026-01-01T00:00:01.000Z"}
{"event":"homes_unknown","host":"h2","route":"r1","homes":"eu,mars","unknown":"moon","time":"2026-01-01T00:00:01.000Z"}
{"event":"directory_outside_homes","host":"h1","name":"n","homes":"eu","outside":true,"time":"2026-01-01T00:01:20.000Z"}
{"event":"request","host":"h1","id":"a1","route":"r1","model":"m","status":200,"homes":"eu,mars","homes_of":"route","target":"e5","target_region":"eu","time":"2026-01-01T00:02:00.000Z","took_ms":100}
{"event":"request","host":"h1","id":"a2","route":"r1","model":"m","status":200,"target":"e5","time":"2026-01-01T00:02:00.000Z","took_ms":100}
`
	var out bytes.Buffer
	if err := Explain(strings.NewReader(lines), &out, "a1"); err != nil {
		t.Fatal(err)
	}
	for text, want := range map[string]bool{"unknown=mars": true, "outside=true": true, "homes_of=route": true, "target_region=eu": true, "unknown=venus": false, "unknown=moon": false} {
		if strings.Contains(out.String(), text) != want {
			t.Errorf("the story has %s: %v", text, !want)
		}
	}
}

// TestExplainNamesEvacuationsInForce guards against a story without the cause of a detour or a refusal that began long before,
// and against one that names evacuations that were over.
func TestExplainNamesEvacuationsInForce(t *testing.T) {
	const before = `{"event":"evacuation_began","host":"h1","zone":"over","time":"2026-01-01T00:00:01.000Z"}
{"event":"evacuation_began","host":"h2","zone":"restarted","time":"2026-01-01T00:00:01.000Z"}
{"event":"evacuation_began","host":"h1","zone":"lasting","time":"2026-01-01T00:00:02.000Z"}
{"event":"evacuation_ended","host":"h1","zone":"over","time":"2026-01-01T00:00:03.000Z"}
{"event":"host_started","host":"h2","time":"2026-01-01T00:00:04.000Z"}
{"event":"evacuation_ended","host":"h1","zone":"during","time":"2026-01-01T01:00:00.000Z"}
{"event":"request","host":"h1","id":"a1","model":"m","status":200,"target":"e5","time":"2026-01-01T01:00:00.100Z","took_ms":200}
`
	var out bytes.Buffer
	if err := Explain(strings.NewReader(before), &out, "a1"); err != nil {
		t.Fatal(err)
	}
	for zone, want := range map[string]bool{"lasting": true, "during": true, "over": false, "restarted": false} {
		if strings.Contains(out.String(), "zone="+zone) != want {
			t.Errorf("zone %s: named %v, want %v", zone, !want, want)
		}
	}
}

// TestExplainTellsWhyACallerWasBrokenOff guards against a story of a stalled caller, or of a request during a failure of its host,
// without the line that says so.
func TestExplainTellsWhyACallerWasBrokenOff(t *testing.T) {
	const lines = `{"event":"caller_stalled","host":"h1","id":"a1","unread_bytes":9,"msg":"caller does not read: its buffer is full","time":"2026-01-01T00:00:29.990Z"}
{"event":"caller_stalled","host":"h1","id":"a2","unread_bytes":7,"time":"2026-01-01T00:00:29.990Z"}
{"event":"panic","host":"h1","in":"planning","time":"2026-01-01T00:00:29.000Z"}
{"event":"accept_failed","host":"h1","failed":1,"time":"2026-01-01T00:00:29.000Z"}
{"event":"request","host":"h1","id":"a1","model":"m","status":499,"caller_unread_bytes":9,"time":"2026-01-01T00:00:30.000Z","took_ms":100}
`
	var out bytes.Buffer
	if err := Explain(strings.NewReader(lines), &out, "a1"); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"buffer is full", "unread_bytes=9", "in=planning", "accept_failed"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no line with %s", want)
		}
	}
	if strings.Contains(out.String(), "unread_bytes=7") {
		t.Error("the story has a line of another request")
	}
}

// TestExplainTellsWhyMemoryWasDenied guards against a story without the loss of the witness that held up a large request, and without
// the call that failed.
func TestExplainTellsWhyMemoryWasDenied(t *testing.T) {
	const before = `{"event":"memory_witness_lost","host":"h0","peer":"h2","time":"2026-01-01T00:00:29.000Z"}
{"event":"memory_not_requested","host":"h1","id":"a1","target":"e5","time":"2026-01-01T00:00:29.950Z"}
{"event":"request","host":"h1","id":"a1","model":"m","status":200,"target":"e5","memory_tokens":9190,"memory_denied":"coordinator changed","reader_place":2,"time":"2026-01-01T00:00:30.000Z","took_ms":900}
`
	var out bytes.Buffer
	if err := Explain(strings.NewReader(before), &out, "a1"); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"memory_witness_lost", "memory_not_requested", "memory_denied=coordinator changed", "reader_place=2"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no line with %s", want)
		}
	}
}
