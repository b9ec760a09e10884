package journal

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/peer/peertest"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/serve"
	"buckthornseam.dev/seam/internal/standin/objectapi"
)

// withFleet runs a test with three hosts in fake time.
func withFleet(t *testing.T, test func(t *testing.T, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &testFleet{rng: rand.New(rand.NewPCG(1, 1)), net: peertest.New(1), store: objectapi.NewStore(), ran: map[string]*atomic.Int64{}, ctx: ctx}
		for i := range 3 {
			f.hosts = append(f.hosts, f.startHost(t, i))
		}
		test(t, f)
		cancel()
		f.wg.Wait()
	})
}

// do sends a key through a host. The call takes the given time and answers with
// the key.
func do(h *host, key, fingerprint string, takes time.Duration) (body string, ran bool, err error) {
	ctx, cancel := context.WithTimeout(h.ctx, 30*time.Second)
	defer cancel()
	a, err := h.j.Do(ctx, serve.CallID{Team: "team", IdempotencyKey: key, Fingerprint: fingerprint}, func(context.Context) (serve.Response, bool, error) {
		ran = true
		time.Sleep(takes)
		return serve.Response{Status: 200, Body: []byte(key)}, true, nil
	})
	return string(a.Body), ran, err
}

// expectRefusal checks the code and execution of a refusal, or that there is
// none if code is "".
func expectRefusal(t *testing.T, what string, err error, code refusal.Code, execution refusal.Execution) {
	t.Helper()
	var ref *refusal.Error
	if code == "" && err == nil {
		return
	}
	if !errors.As(err, &ref) || ref.Code != code || ref.Execution != execution {
		t.Errorf("%s: %v, want %s (%s)", what, err, code, execution)
	}
}

// ownerIndex returns the number of the host that owns the shard.
func (f *testFleet) ownerIndex() int {
	for i, h := range f.hosts {
		if h.j.ownerOf(0, nil) == h.j.self.Name {
			return i
		}
	}
	return -1
}

func TestRepeatsGetTheFirstAnswer(t *testing.T) {
	withFleet(t, func(t *testing.T, f *testFleet) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _, err := do(f.hosts[0], "k", "f", 2*time.Second)
			expectRefusal(t, "first", err, "", "")
		}()
		time.Sleep(time.Second)
		_, ran, err := do(f.hosts[1], "k", "f", 0)
		expectRefusal(t, "while it runs", err, refusal.CodeInProgress, refusal.Unknown)
		<-done
		time.Sleep(time.Second)
		body, again, err := do(f.hosts[2], "k", "f", 0)
		expectRefusal(t, "afterwards", err, "", "")
		if body != "k" || ran || again {
			t.Errorf("answer %q, ran while in progress: %v, ran again: %v", body, ran, again)
		}
		_, _, err = do(f.hosts[2], "k", "g", 0)
		expectRefusal(t, "another body", err, refusal.CodeIdempotencyKeyReused, refusal.NotRun)
		_, _, err = do(f.hosts[1], strings.Repeat("x", 20_000), "f", 0)
		expectRefusal(t, "large answer", err, "", "")
		time.Sleep(time.Second)
		_, _, err = do(f.hosts[1], strings.Repeat("x", 20_000), "f", 0)
		expectRefusal(t, "its repeat", err, refusal.CodeOutcomeUnknown, refusal.Ran)
	})
}

func TestOutcomeIsUnknownOnceTheHostIsGone(t *testing.T) {
	withFleet(t, func(t *testing.T, f *testFleet) {
		crashing, other := f.hosts[(f.ownerIndex()+1)%3], f.hosts[(f.ownerIndex()+2)%3]
		f.wg.Go(func() { _, _, _ = do(crashing, "k", "f", 20*time.Second) })
		time.Sleep(time.Second)
		crashing.crash()
		_, _, err := do(other, "k", "f", 0)
		expectRefusal(t, "just after the crash", err, refusal.CodeInProgress, refusal.Unknown)
		time.Sleep(membershipDelay)
		_, ran, err := do(other, "k", "f", 0)
		expectRefusal(t, "once the host counts as gone", err, refusal.CodeOutcomeUnknown, refusal.Unknown)
		if ran {
			t.Error("ran again")
		}
	})
}

func TestOutageRefusesNewCallsAndAnswersRepeats(t *testing.T) {
	withFleet(t, func(t *testing.T, f *testFleet) {
		_, _, err := do(f.hosts[0], "before", "f", 0)
		expectRefusal(t, "before", err, "", "")
		time.Sleep(time.Second)
		for _, h := range f.hosts {
			h.apiDown.Store(true)
		}
		begin := time.Now()
		for i := range 50 {
			_, ran, err := do(f.hosts[i%3], fmt.Sprint("during", i), "f", 0)
			expectRefusal(t, "during the outage", err, refusal.CodeJournalUnavailable, refusal.NotRun)
			if ran {
				t.Error("ran without a record")
			}
			time.Sleep(100 * time.Millisecond)
		}
		if took := time.Since(begin); took > 6*time.Second {
			t.Errorf("50 refusals took %v", took)
		}
		body, _, err := do(f.hosts[1], "before", "f", 0)
		if err != nil || body != "before" {
			t.Errorf("repeat during the outage: %q, %v", body, err)
		}
		for _, h := range f.hosts {
			h.apiDown.Store(false)
		}
		time.Sleep(time.Second)
		_, _, err = do(f.hosts[2], "during1", "f", 0)
		expectRefusal(t, "same key after the outage", err, "", "")
	})
}

func TestSlowAPIDelaysButDoesNotRefuse(t *testing.T) {
	withFleet(t, func(t *testing.T, f *testFleet) {
		for _, h := range f.hosts {
			h.apiDelay.Store(int64(2500 * time.Millisecond)) // APITimeout is 3 s in these tests
		}
		_, _, err := do(f.hosts[0], "k", "f", 0)
		expectRefusal(t, "slow API", err, "", "")
	})
}

func TestDrainHandsShardOver(t *testing.T) {
	withFleet(t, func(t *testing.T, f *testFleet) {
		_, _, err := do(f.hosts[0], "k", "f", 0)
		expectRefusal(t, "before", err, "", "")
		time.Sleep(time.Second) // the outcome of the attempt reaches the owner
		i := f.ownerIndex()
		leaving, next := f.hosts[i], f.hosts[(i+1)%3]
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := leaving.j.Drain(ctx); err != nil {
			t.Fatal(err)
		}
		puts := f.store.Calls()["put"]
		for _, h := range f.hosts {
			h.hiddenHost.Store(int64(i))
		}
		time.Sleep(ownersTTL * 2)
		leaving.crash()
		body, ran, err := do(next, "k", "f", 0)
		if err != nil || body != "k" || ran {
			t.Errorf("repeat after the handover: %q, ran %v, %v", body, ran, err)
		}
		if now := f.store.Calls()["put"]; now != puts {
			t.Errorf("a repeat cost %d writes", now-puts)
		}
	})
}
