package modelplacer

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

// settleTime is enough for the hosts to find a decider and to read reports.
const settleTime = 5 * time.Second

func TestBurstLoadsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8, 4, []config.Model{baseModel("m", 8*gib)})
		defer c.close()
		time.Sleep(settleTime)
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
		c := newCluster(t, 3, 2, []config.Model{baseModel("m", 16*gib), baseModel("huge", 80*gib)})
		defer c.close()
		time.Sleep(settleTime)
		for model, code := range map[string]refusal.Code{"m": refusal.CodeDeadline, "huge": refusal.CodeNoCapacity, "gone": refusal.CodeUnknownModel} {
			began := time.Now()
			err := c.ensure(c.hosts[1], model, 4*time.Second)
			var ref *refusal.Error
			if !errors.As(err, &ref) || ref.Code != code || ref.Execution != refusal.NotRun {
				t.Errorf("%s: %v, want %s", model, err, code)
			}
			if waited := time.Since(began); waited > time.Second {
				t.Errorf("%s: refused only after %v", model, waited)
			}
		}
		// The load continues for requests that are retried after the refusal.
		time.Sleep(9 * time.Second)
		if err := c.ensure(c.hosts[2], "m", time.Second); err != nil {
			t.Errorf("after the retry time: %v", err)
		}
	})
}

func TestDeciderDiesDuringLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 2, []config.Model{baseModel("m", 16*gib)})
		defer c.close()
		time.Sleep(settleTime)
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

// TestOutage takes the object API down for an hour. A model that has a slot on an
// engine that checks fencing tokens can still be loaded again; a model without
// a slot is not loaded.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, []config.Model{baseModel("m", 8*gib), baseModel("new", 8*gib)})
		defer c.close()
		time.Sleep(settleTime)
		if err := c.ensure(c.hosts[0], "m", 20*time.Second); err != nil {
			t.Fatal(err)
		}
		c.setAllFaults(objectapi.Faults{Down: true})
		time.Sleep(30 * time.Minute)
		if c.engines["e0"].Stats().Unloads != 1 {
			t.Errorf("idle model not unloaded: %+v", c.engines["e0"].Stats())
		}
		if err := c.ensure(c.hosts[1], "m", 20*time.Second); err != nil {
			t.Errorf("model with a slot: %v", err)
		}
		if err := c.ensure(c.hosts[2], "new", 10*time.Second); err == nil {
			t.Error("a model was loaded without a decision")
		}
		time.Sleep(30 * time.Minute)
		c.setAllFaults(objectapi.Faults{})
		time.Sleep(settleTime)
		if err := c.ensure(c.hosts[2], "new", 20*time.Second); err != nil {
			t.Errorf("after the outage: %v", err)
		}
	})
}

// TestSlowAPI delays every call of the object API by 5 s. A new model takes two
// writes and a load, and must still be ready within 30 s.
func TestSlowAPI(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 2, []config.Model{baseModel("m", 8*gib), baseModel("new", 8*gib)})
		defer c.close()
		time.Sleep(settleTime)
		c.setAllFaults(objectapi.Faults{Delay: 5 * time.Second})
		time.Sleep(time.Minute)
		for _, model := range []string{"m", "new"} {
			if err := c.ensure(c.hosts[1], model, 30*time.Second); err != nil {
				t.Errorf("%s: %v", model, err)
			}
		}
	})
}

// TestDeciderCutOff cuts only the decider off from the object API. Another host
// takes over, and all hosts find it.
func TestDeciderCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 2, []config.Model{baseModel("m", 8*gib)})
		defer c.close()
		time.Sleep(settleTime)
		old := c.decider()
		c.setFaults(old, objectapi.Faults{Down: true})
		time.Sleep(20 * time.Second)
		if old.lease.active() {
			t.Error("the host that is cut off is still the decider")
		}
		for _, h := range c.hosts {
			if err := c.ensure(h, "m", 20*time.Second); err != nil {
				t.Error(err)
			}
		}
	})
}

// TestEvictsForWaiting requests more models than fit into memory, on engines with
// and without a check of fencing tokens.
func TestEvictsForWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var models []config.Model
		for i := range 12 {
			models = append(models, baseModel(fmt.Sprintf("m%d", i), 10*gib))
		}
		c := newCluster(t, 3, 2, models)
		defer c.close()
		time.Sleep(settleTime)
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
		c := newCluster(t, 3, 2, []config.Model{baseModel("m", 8*gib), baseModel("slow", 8*gib), baseModel("stuck", 8*gib)})
		defer c.close()
		time.Sleep(settleTime)
		if err := c.ensure(c.hosts[0], "m", 20*time.Second); err != nil {
			t.Fatal(err)
		}
		// A restart of both engines drops the loaded models; they must be loaded again.
		for _, e := range c.engines {
			e.Restart()
		}
		time.Sleep(30 * time.Millisecond) // lag of reports
		c.hosts[0].RecordMissingModel("m")
		if err := c.ensure(c.hosts[0], "m", 20*time.Second); err != nil || c.loads("m") != 2 {
			t.Errorf("after a restart: %v, %d loads", err, c.loads("m"))
		}
		c.weights.SetSlowdown(10)
		if err := c.ensure(c.hosts[1], "slow", 80*time.Second); err != nil {
			t.Errorf("weight store slowed down 10 times: %v", err)
		}
		c.weights.SetSlowdown(1)
		c.weights.SetHanging("stuck", true)
		if err := c.ensure(c.hosts[2], "stuck", 30*time.Second); err == nil {
			t.Error("a model whose load never ends was reported ready")
		}
		c.weights.SetHanging("stuck", false)
		time.Sleep(3 * time.Minute)
		if err := c.ensure(c.hosts[2], "stuck", 60*time.Second); err != nil {
			t.Errorf("after the store has recovered: %v", err)
		}
		for _, e := range c.engines {
			e.SetSilent(true)
		}
		time.Sleep(20 * time.Second)
		c.hosts[0].RecordMissingModel("m")
		if err := c.ensure(c.hosts[0], "m", 5*time.Second); err == nil {
			t.Error("model on a silent engine reported ready")
		}
	})
}

func TestAdapterAndStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		adapter := config.Model{Name: "a", Base: "m", Bytes: gib / 8, Pool: "drafting", MaxReplicas: 1, IdleSeconds: 30}
		c := newCluster(t, 3, 2, []config.Model{baseModel("m", 8*gib), adapter})
		defer c.close()
		time.Sleep(settleTime)
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

// TestIdleCost bounds the API calls that placement makes while there are no requests.
func TestIdleCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 12, 4, []config.Model{baseModel("m", 8*gib)})
		defer c.close()
		time.Sleep(settleTime)
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

// TestDeciderRankedLast starts the host that ranks last alone, so that it
// takes the lease although it is no candidate once the others have joined. It
// must still place models that are configured afterwards.
func TestDeciderRankedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 0, 4, nil)
		defer c.close()
		var members []peer.Member
		for i := range 8 {
			members = append(members, peer.Member{ID: peer.ID{Name: fmt.Sprintf("h%d", i)}, State: peer.StateAlive})
		}
		names := rankedHosts(members)
		c.addHost(names[7])
		time.Sleep(settleTime)
		for _, name := range names[:7] {
			c.addHost(name)
		}
		time.Sleep(settleTime)
		c.mu.Lock()
		e := config.Entities{Models: []config.Model{baseModel("m", 8*gib)}}
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

// TestLostWriteResponsesAreRateLimited loses the response to every write to
// the object API. The whole fleet may make several hundred writes a second for
// all its tasks; one waiting model must not cause more than ten a second.
func TestLostWriteResponsesAreRateLimited(t *testing.T) {
	const perSecond, seconds = 10, 10
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 2, []config.Model{baseModel("m", 8*gib)})
		defer c.close()
		time.Sleep(settleTime)
		c.setAllFaults(objectapi.Faults{LoseResponses: true, Delay: 2 * time.Millisecond})
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
