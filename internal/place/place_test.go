package place

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/coord/placement"
	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/standin/objectapi"
)

// settle lets a decider be found and reports be read.
const settle = 5 * time.Second

func TestBurstLoadsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8, 4, []config.Model{baseModel("m", 8*gb)})
		defer c.close()
		time.Sleep(settle)
		began := time.Now()
		var wait sync.WaitGroup
		for i := range 80 {
			wait.Go(func() {
				if err := c.ensure(c.hosts[i%8], "m", 20*time.Second); err != nil {
					t.Error(err)
				}
			})
		}
		wait.Wait()
		if n := c.loads("m"); n != 1 {
			t.Errorf("%d loads for one burst", n)
		}
		t.Logf("ready after %v, the load alone takes 4s", time.Since(began))
		if err := c.ensure(c.hosts[3], "m", time.Millisecond); err != nil {
			t.Errorf("loaded model: %v", err)
		}
	})
}

func TestRefusedAtOnceWhenLoadTakesTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 2, []config.Model{baseModel("m", 16*gb), baseModel("huge", 80*gb)})
		defer c.close()
		time.Sleep(settle)
		for model, code := range map[string]refusal.Code{"m": refusal.CodeDeadline, "huge": refusal.CodeNoCapacity, "gone": refusal.CodeUnknownModel} {
			began := time.Now()
			err := c.ensure(c.hosts[1], model, 4*time.Second)
			var ref *refusal.Error
			if !errors.As(err, &ref) || ref.Code != code || ref.Execution != refusal.NotRun {
				t.Errorf("%s: %v, want %s", model, err, code)
			}
			if waited := time.Since(began); waited > time.Second {
				t.Errorf("%s: refused after %v only", model, waited)
			}
		}
		// The load goes on for those who were told to come back.
		time.Sleep(9 * time.Second)
		if err := c.ensure(c.hosts[2], "m", time.Second); err != nil {
			t.Errorf("after the time told: %v", err)
		}
	})
}

func TestDeciderDiesDuringLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 2, []config.Model{baseModel("m", 16*gb)})
		defer c.close()
		time.Sleep(settle)
		dead := c.decider()
		var wait sync.WaitGroup
		for _, h := range c.hosts {
			if h == dead {
				continue
			}
			wait.Go(func() {
				if err := c.ensure(h, "m", 30*time.Second); err != nil {
					t.Error(err)
				}
			})
		}
		time.Sleep(2 * time.Second)
		c.kill(dead)
		wait.Wait()
		if n := c.loads("m"); n != 1 {
			t.Errorf("%d loads", n)
		}
	})
}

// TestOutage lets the object API fail for an hour. A model whose slot is held
// on an engine that checks fencing numbers is loaded again; one without a slot
// is not.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, []config.Model{baseModel("m", 8*gb), baseModel("new", 8*gb)})
		defer c.close()
		time.Sleep(settle)
		if err := c.ensure(c.hosts[0], "m", 20*time.Second); err != nil {
			t.Fatal(err)
		}
		c.setAllFaults(objectapi.Faults{Down: true})
		time.Sleep(30 * time.Minute)
		if c.engines["e0"].Stats().Unloads != 1 {
			t.Errorf("idle model not unloaded: %+v", c.engines["e0"].Stats())
		}
		if err := c.ensure(c.hosts[1], "m", 20*time.Second); err != nil {
			t.Errorf("model with a held slot: %v", err)
		}
		if err := c.ensure(c.hosts[2], "new", 10*time.Second); err == nil {
			t.Error("a model was loaded without a decision")
		}
		time.Sleep(30 * time.Minute)
		c.setAllFaults(objectapi.Faults{})
		time.Sleep(settle)
		if err := c.ensure(c.hosts[2], "new", 20*time.Second); err != nil {
			t.Errorf("after the outage: %v", err)
		}
	})
}

// TestSlowAPI has every call of the object API take 5 s: a new model takes two
// writes and its load.
func TestSlowAPI(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 2, []config.Model{baseModel("m", 8*gb), baseModel("new", 8*gb)})
		defer c.close()
		time.Sleep(settle)
		c.setAllFaults(objectapi.Faults{Delay: 5 * time.Second})
		time.Sleep(time.Minute)
		for _, model := range []string{"m", "new"} {
			if err := c.ensure(c.hosts[1], model, 30*time.Second); err != nil {
				t.Errorf("%s: %v", model, err)
			}
		}
	})
}

// TestDeciderCutOff cuts the decider off from the object API alone. Another
// host takes over, and all hosts find it.
func TestDeciderCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 2, []config.Model{baseModel("m", 8*gb)})
		defer c.close()
		time.Sleep(settle)
		old := c.decider()
		c.setFaults(old, objectapi.Faults{Down: true})
		time.Sleep(20 * time.Second)
		if old.lease.active() {
			t.Error("the host that is cut off still decides")
		}
		for _, h := range c.hosts {
			if err := c.ensure(h, "m", 20*time.Second); err != nil {
				t.Error(err)
			}
		}
	})
}

// TestEvictsForWaiting fills the memory and asks for one more model, on both
// kinds of target.
func TestEvictsForWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var models []config.Model
		for i := range 12 {
			models = append(models, baseModel(fmt.Sprintf("m%d", i), 10*gb))
		}
		c := newCluster(t, 3, 2, models)
		defer c.close()
		time.Sleep(settle)
		for i := range 12 {
			if err := c.ensure(c.hosts[i%3], models[i].Name, 60*time.Second); err != nil {
				t.Errorf("%s: %v", models[i].Name, err)
			}
			time.Sleep(5 * time.Second)
		}
	})
}

func TestFaultyTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 2, []config.Model{baseModel("m", 8*gb), baseModel("slow", 8*gb), baseModel("stuck", 8*gb)})
		defer c.close()
		time.Sleep(settle)
		if err := c.ensure(c.hosts[0], "m", 20*time.Second); err != nil {
			t.Fatal(err)
		}
		// Both engines restart: what was loaded is gone and is loaded again.
		for _, e := range c.engines {
			e.Restart()
		}
		time.Sleep(30 * time.Millisecond) // lag of reports
		c.hosts[0].Missed("m")
		if err := c.ensure(c.hosts[0], "m", 20*time.Second); err != nil || c.loads("m") != 2 {
			t.Errorf("after a restart: %v, %d loads", err, c.loads("m"))
		}
		c.weights.SetSlowdown(10)
		if err := c.ensure(c.hosts[1], "slow", 80*time.Second); err != nil {
			t.Errorf("store slowed by 10: %v", err)
		}
		c.weights.SetSlowdown(1)
		c.weights.SetHanging("stuck", true)
		if err := c.ensure(c.hosts[2], "stuck", 30*time.Second); err == nil {
			t.Error("a load that never ends was reported ready")
		}
		c.weights.SetHanging("stuck", false)
		time.Sleep(3 * time.Minute)
		if err := c.ensure(c.hosts[2], "stuck", 60*time.Second); err != nil {
			t.Errorf("after a load that never ended: %v", err)
		}
		for _, e := range c.engines {
			e.SetSilent(true)
		}
		time.Sleep(20 * time.Second)
		c.hosts[0].Missed("m")
		if err := c.ensure(c.hosts[0], "m", 5*time.Second); err == nil {
			t.Error("model on a silent engine reported ready")
		}
	})
}

func TestAdapterAndStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		adapter := config.Model{Name: "a", Base: "m", Bytes: gb / 8, Pool: "drafting", MaxReplicas: 1, IdleSeconds: 30}
		c := newCluster(t, 3, 2, []config.Model{baseModel("m", 8*gb), adapter})
		defer c.close()
		time.Sleep(settle)
		if err := c.ensure(c.hosts[0], "a", 20*time.Second); err != nil {
			t.Fatal(err)
		}
		st, err := c.hosts[2].Status(t.Context(), "")
		if err != nil || len(st) != 2 || st[0].Serving != placement.ServingReady || st[1].Serving != placement.ServingReady {
			t.Errorf("status %+v, %v", st, err)
		}
		old := c.decider()
		if err := old.Drain(t.Context()); err != nil {
			t.Error(err)
		}
		time.Sleep(3 * time.Second)
		if now := c.decider(); now == nil || now == old {
			t.Error("no new decider after a planned stop")
		}
	})
}

// TestIdleCost counts what placement costs while nothing happens.
func TestIdleCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12, 4, []config.Model{baseModel("m", 8*gb)})
		defer c.close()
		time.Sleep(settle)
		before := c.store.Calls()
		const minutes = 10
		time.Sleep(minutes * time.Minute)
		after := c.store.Calls()
		seconds := float64(minutes * 60)
		writes := float64(after["put"]-before["put"]) / seconds
		reads := float64(after["get"]+after["list"]-before["get"]-before["list"]) / seconds
		t.Logf("12 hosts, idle: %.2f writes/s, %.2f reads/s", writes, reads)
		if writes > 1 || reads > 5 {
			t.Errorf("%.2f writes/s, %.2f reads/s for the whole fleet", writes, reads)
		}
	})
}

// TestDeciderBeyondTheCandidates has the host that ranks last take the lease
// while it is alone. Models that come with the others must be decided on.
func TestDeciderBeyondTheCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0, 4, nil)
		defer c.close()
		var members []peer.Member
		for i := range 8 {
			members = append(members, peer.Member{ID: peer.ID{Name: fmt.Sprintf("h%d", i)}, State: peer.StateAlive})
		}
		names := order(members)
		c.addHost(names[7])
		time.Sleep(settle)
		for _, name := range names[:7] {
			c.addHost(name)
		}
		time.Sleep(settle)
		c.mu.Lock()
		e := config.Entities{Models: []config.Model{baseModel("m", 8*gb)}}
		for _, t := range c.snap.Targets {
			e.Targets = append(e.Targets, *t)
		}
		c.snap = config.NewSnapshot(2, e)
		c.mu.Unlock()
		if err := c.ensure(c.hosts[3], "m", 20*time.Second); err != nil {
			t.Error(err)
		}
	})
}

// TestLostAnswersArePaced has the object API lose the answer of every write.
// The fleet may write several hundred times a second for all its duties; one
// model that waits must not take more than ten a second of that.
func TestLostAnswersArePaced(t *testing.T) {
	const perSecond, seconds = 10, 10
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 2, []config.Model{baseModel("m", 8*gb)})
		defer c.close()
		time.Sleep(settle)
		c.setAllFaults(objectapi.Faults{LoseAnswers: true, Delay: 2 * time.Millisecond})
		before := c.store.Calls()["put"]
		_ = c.ensure(c.hosts[0], "m", seconds*time.Second) // the load may or may not be decided
		time.Sleep(seconds * time.Second)
		n := c.store.Calls()["put"] - before
		t.Logf("%d writes", n)
		if n > perSecond*seconds {
			t.Errorf("%d writes in up to 20 s", n)
		}
	})
}
