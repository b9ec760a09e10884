package crashcause

import (
	"fmt"
	"testing"
	"time"
)

// fullOfSuspects is the number of failures in a tracker that is full of parts that failed again and again.
const fullOfSuspects = 2048

// full returns a tracker with many failures, of many parts at many targets.
func full() (*Tracker, time.Duration) {
	t, now := New(), start
	for i := 0; t.count < fullOfSuspects; i++ {
		now += time.Millisecond
		t.RecordFailure(now, fmt.Sprint(i), []string{"head", fmt.Sprint("document", i%301)}, fmt.Sprint("target", i%120), now-50*time.Millisecond)
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

// BenchmarkRequest is what a request costs with prompts of different lengths, of parts that many requests have.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{2, 16, 100, 1000} {
		b.Run(fmt.Sprint(n, " parts"), func(b *testing.B) {
			t, now := full()
			parts := []string{"head", "document7"}
			for i := range n - 2 {
				parts = append(parts, fmt.Sprint("other", i))
			}
			for b.Loop() {
				t.Check(now, parts, never)
				t.HoldUntil(now, parts)
				t.RecordCompletion(now, parts, "sound", now)
			}
		})
	}
}

// BenchmarkUniqueParts is what a request costs whose 100 parts no other one has.
func BenchmarkUniqueParts(b *testing.B) {
	t, now := full()
	n := 0
	for b.Loop() {
		parts := make([]string, 100)
		for i := range parts {
			n++
			parts[i] = fmt.Sprint("own", n)
		}
		now += 10 * time.Millisecond
		t.Check(now, parts, never)
		t.HoldUntil(now, parts)
		t.RecordCompletion(now, parts, "sound", now)
	}
}
