package crashcause

import (
	"fmt"
	"testing"
	"time"
)

// full returns a tracker with as many failures as it keeps, of many parts at many targets.
func full() (*Tracker, time.Duration) {
	t, now := New(), start
	for i := 0; t.count < maxFailures; i++ {
		now += time.Millisecond
		t.RecordFailure(now, []string{"head", fmt.Sprint("document", i%301)}, fmt.Sprint("target", i%120), now-50*time.Millisecond)
	}
	return t, now + 2*settleTime
}

func BenchmarkEvaluate(b *testing.B) {
	t, now := full()
	for b.Loop() {
		t.Evaluate(now)
	}
}

func BenchmarkChangesWithoutNews(b *testing.B) {
	t, now := full()
	cursor := Cursor{}
	t.Changes(now, &cursor, ToHost)
	for b.Loop() {
		t.Changes(now, &cursor, ToHost)
	}
}

func BenchmarkRequest(b *testing.B) {
	t, now := full()
	parts := []string{"head", "document7"}
	for b.Loop() {
		t.Check(now, parts, never)
		t.HoldUntil(now, parts)
		t.RecordCompletion(now, parts, "sound", now)
	}
}
