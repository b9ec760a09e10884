package gateway

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// longPrompts are prompts of a common part and many documents.
type longPrompts struct {
	documents, pool int  // of a prompt, and all there are
	place           int  // of a crashing part, among the documents
	shuffled        bool // the parts come in another order in each prompt
}

func (l longPrompts) document(i int) string { return fmt.Sprint("document", i) }

// parts returns the parts of a prompt, with a crashing one unless that is empty.
func (f *engineFleet) longPrompt(l longPrompts, crashing string) []string {
	parts := []string{soundPart(0)}
	for _, i := range f.random.Perm(l.pool)[:l.documents] {
		parts = append(parts, l.document(i))
	}
	if crashing != "" {
		parts = slices.Insert(parts, 1+min(l.place, l.documents), crashing)
	}
	if l.shuffled {
		f.random.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
	}
	return parts
}

// playLong sends requests with long prompts for a duration: sound ones, and others that have one of the crashing parts in addition.
func (f *engineFleet) playLong(d time.Duration, l longPrompts, soundPerSecond, crashingPerSecond float64, crashing ...string) {
	const step = 10 * time.Millisecond
	f.mu.Lock()
	for _, part := range crashing {
		f.crashing[part] = true
	}
	f.mu.Unlock()
	for end := f.now() + d; f.now() < end; time.Sleep(step) {
		if f.random.Float64() < soundPerSecond*step.Seconds() {
			f.send(f.longPrompt(l, "")...)
		}
		for _, part := range crashing {
			if f.random.Float64() < crashingPerSecond*step.Seconds() {
				f.send(f.longPrompt(l, part)...)
			}
		}
	}
}

// blockedDocuments returns the documents that a host refuses.
func (f *engineFleet) blockedDocuments(l longPrompts) []string {
	var out []string
	for _, h := range f.hosts {
		for i := range l.pool {
			if part := l.document(i); h.parts.Check([]string{part}, false) != "" && !slices.Contains(out, part) {
				out = append(out, part)
			}
		}
	}
	return out
}

// TestCrashingPartOfLongPromptsIsStopped guards against a part that crashes engines never being found out in prompts of many parts, and
// against sound documents being refused in its place.
func TestCrashingPartOfLongPromptsIsStopped(t *testing.T) {
	for name, l := range map[string]longPrompts{
		"last of 20":              {documents: 18, pool: 60, place: 18},
		"third of 20":             {documents: 18, pool: 60, place: 1},
		"other order each time":   {documents: 18, pool: 60, shuffled: true},
		"last of 100, none alike": {documents: 100, pool: 20_000, place: 100},
	} {
		t.Run(name, func(t *testing.T) {
			forSeeds(t, func(t *testing.T, seed uint64) {
				f := newEngineFleet(t, 8, 9, seed)
				f.playLong(8*time.Second, l, 30, 0)
				from := f.now()
				f.playLong(20*time.Second, l, 30, 2, "bad")
				f.checkCrashingPart(from, f.now())
				if blocked := f.blockedDocuments(l); len(blocked) > l.pool/100 {
					t.Errorf("sound parts are blocked: %s", strings.Join(blocked, " "))
				}
			})
		})
	}
}

// TestTwoCrashingPartsOfLongPromptsAreStopped guards against each of two parts hiding the other one.
func TestTwoCrashingPartsOfLongPromptsAreStopped(t *testing.T) {
	l := longPrompts{documents: 18, pool: 60, place: 18}
	forSeeds(t, func(t *testing.T, seed uint64) {
		f := newEngineFleet(t, 8, 9, seed)
		f.playLong(8*time.Second, l, 30, 0)
		from := f.now()
		f.playLong(20*time.Second, l, 30, 1.5, "bad", "worse")
		for _, part := range []string{"bad", "worse"} {
			if f.hosts[0].parts.Check([]string{part}, false) == "" {
				t.Errorf("%s is not blocked", part)
			}
		}
		if share, n := f.shareBegun(from+12*time.Second, f.now()); share < 0.9 {
			t.Errorf("%.3f of %d sound requests began, want 0.9 at least", share, n)
		}
		if blocked := f.blockedDocuments(l); len(blocked) > 0 {
			t.Errorf("sound parts are blocked: %s", strings.Join(blocked, " "))
		}
	})
}

// TestLongPromptsAreServedWhileEnginesCrash is the control: engines that crash for another reason stop no part of long prompts.
func TestLongPromptsAreServedWhileEnginesCrash(t *testing.T) {
	for name, l := range map[string]longPrompts{
		"18 of 60":      {documents: 18, pool: 60},
		"100 of 20,000": {documents: 100, pool: 20_000},
	} {
		t.Run(name, func(t *testing.T) {
			forSeeds(t, func(t *testing.T, seed uint64) {
				f := newEngineFleet(t, 8, 9, seed)
				f.playLong(5*time.Second, l, 30, 0)
				from := f.now()
				for range 6 {
					f.crashSome(3)
					f.playLong(3500*time.Millisecond, l, 30, 0)
					if blocked := f.blockedDocuments(l); len(blocked) > 0 {
						t.Errorf("sound parts are blocked: %s", strings.Join(blocked, " "))
					}
				}
				if share, n := f.shareBegun(from, f.now()); share < 0.9 {
					t.Errorf("%.3f of %d sound requests began, want 0.9 at least", share, n)
				}
			})
		})
	}
}
