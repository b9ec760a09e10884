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

// withFleet runs f with three hosts in fake time.
func withFleet(t *testing.T, f func(t *testing.T, c *chaos)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := &chaos{rng: rand.New(rand.NewPCG(1, 1)), net: peertest.New(1), store: objectapi.NewStore(), ran: map[string]*atomic.Int64{}, ctx: ctx}
		for i := range 3 {
			c.hosts = append(c.hosts, c.boot(t, i))
		}
		f(t, c)
		cancel()
		c.wg.Wait()
	})
}

// do sends a key through a host; the call takes a while and answers its key.
func do(h *host, key, fingerprint string, takes time.Duration) (body string, ran bool, err error) {
	ctx, cancel := context.WithTimeout(h.ctx, 30*time.Second)
	defer cancel()
	a, err := h.j.Do(ctx, serve.CallID{Team: "team", IdempotencyKey: key, Fingerprint: fingerprint}, func(context.Context) (serve.Answer, bool, error) {
		ran = true
		time.Sleep(takes)
		return serve.Answer{Status: 200, Body: []byte(key)}, true, nil
	})
	return string(a.Body), ran, err
}

// expect checks the code of a refusal, or that there is none.
func expect(t *testing.T, what string, err error, code refusal.Code, x refusal.Execution) {
	t.Helper()
	var ref *refusal.Error
	if code == "" && err == nil {
		return
	}
	if !errors.As(err, &ref) || ref.Code != code || ref.Execution != x {
		t.Errorf("%s: %v, want %s (%s)", what, err, code, x)
	}
}

// owner returns the number of the host that serves the shard.
func (c *chaos) owner() int {
	for i, h := range c.hosts {
		if h.j.ownerOf(0, nil) == h.j.self.Name {
			return i
		}
	}
	return -1
}

func TestRepeatsGetTheFirstAnswer(t *testing.T) {
	withFleet(t, func(t *testing.T, c *chaos) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _, err := do(c.hosts[0], "k", "f", 2*time.Second)
			expect(t, "first", err, "", "")
		}()
		time.Sleep(time.Second)
		_, ran, err := do(c.hosts[1], "k", "f", 0)
		expect(t, "while it runs", err, refusal.CodeInProgress, refusal.Unknown)
		<-done
		time.Sleep(time.Second)
		body, again, err := do(c.hosts[2], "k", "f", 0)
		expect(t, "afterwards", err, "", "")
		if body != "k" || ran || again {
			t.Errorf("answer %q, ran again: %v %v", body, ran, again)
		}
		_, _, err = do(c.hosts[2], "k", "g", 0)
		expect(t, "another body", err, refusal.CodeIdempotencyKeyReused, refusal.NotRun)
		_, _, err = do(c.hosts[1], strings.Repeat("x", 20_000), "f", 0)
		expect(t, "large answer", err, "", "")
		time.Sleep(time.Second)
		_, _, err = do(c.hosts[1], strings.Repeat("x", 20_000), "f", 0)
		expect(t, "its repeat", err, refusal.CodeOutcomeUnknown, refusal.Ran)
	})
}

func TestOutcomeIsUnknownOnceTheHostIsGone(t *testing.T) {
	withFleet(t, func(t *testing.T, c *chaos) {
		dying, other := c.hosts[(c.owner()+1)%3], c.hosts[(c.owner()+2)%3]
		c.wg.Go(func() { _, _, _ = do(dying, "k", "f", 20*time.Second) })
		time.Sleep(time.Second)
		dying.crash()
		_, _, err := do(other, "k", "f", 0)
		expect(t, "just after the crash", err, refusal.CodeInProgress, refusal.Unknown)
		time.Sleep(memberLag)
		_, ran, err := do(other, "k", "f", 0)
		expect(t, "once the host is certainly gone", err, refusal.CodeOutcomeUnknown, refusal.Unknown)
		if ran {
			t.Error("ran again")
		}
	})
}

func TestOutageRefusesAtOnceAndRepeatsGoOn(t *testing.T) {
	withFleet(t, func(t *testing.T, c *chaos) {
		_, _, err := do(c.hosts[0], "before", "f", 0)
		expect(t, "before", err, "", "")
		time.Sleep(time.Second)
		for _, h := range c.hosts {
			h.down.Store(true)
		}
		begin := time.Now()
		for i := range 50 {
			_, ran, err := do(c.hosts[i%3], fmt.Sprint("during", i), "f", 0)
			expect(t, "during the outage", err, refusal.CodeJournalDown, refusal.NotRun)
			if ran {
				t.Error("ran without a record")
			}
			time.Sleep(100 * time.Millisecond)
		}
		if took := time.Since(begin); took > 6*time.Second {
			t.Errorf("50 refusals took %v", took)
		}
		body, _, err := do(c.hosts[1], "before", "f", 0)
		if err != nil || body != "before" {
			t.Errorf("repeat during the outage: %q, %v", body, err)
		}
		for _, h := range c.hosts {
			h.down.Store(false)
		}
		time.Sleep(time.Second)
		_, _, err = do(c.hosts[2], "during1", "f", 0)
		expect(t, "same key after the outage", err, "", "")
	})
}

func TestSlowAPIDelaysButDoesNotRefuse(t *testing.T) {
	withFleet(t, func(t *testing.T, c *chaos) {
		for _, h := range c.hosts {
			h.slow.Store(int64(2500 * time.Millisecond)) // the bound of a call is 3 s here
		}
		_, _, err := do(c.hosts[0], "k", "f", 0)
		expect(t, "slow API", err, "", "")
	})
}

func TestDrainHandsOver(t *testing.T) {
	withFleet(t, func(t *testing.T, c *chaos) {
		_, _, err := do(c.hosts[0], "k", "f", 0)
		expect(t, "before", err, "", "")
		time.Sleep(time.Second) // the end of the attempt reaches its owner
		i := c.owner()
		leaving, next := c.hosts[i], c.hosts[(i+1)%3]
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := leaving.j.Drain(ctx); err != nil {
			t.Fatal(err)
		}
		puts := c.store.Calls()["put"]
		for _, h := range c.hosts {
			h.hidden.Store(int64(i))
		}
		time.Sleep(ownersLife * 2)
		leaving.crash()
		body, ran, err := do(next, "k", "f", 0)
		if err != nil || body != "k" || ran {
			t.Errorf("repeat after the handover: %q, ran %v, %v", body, ran, err)
		}
		if now := c.store.Calls()["put"]; now != puts {
			t.Errorf("a repeat cost %d writes", now-puts)
		}
	})
}
