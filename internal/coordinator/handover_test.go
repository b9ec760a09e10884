package coordinator

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/platform"
)

// pausingStore calls beforePut before the first write of an owner record.
type pausingStore struct {
	*memStore
	beforePut func()
}

func (s *pausingStore) Put(ctx context.Context, obj platform.Object) (platform.Object, error) {
	if f := s.beforePut; f != nil && obj.Kind == kindOwners {
		s.beforePut = nil
		f()
	}
	return s.memStore.Put(ctx, obj)
}

// TestReturningAndNextOwnerDoNotBothOwn covers a host that comes back after a planned stop
// while another host takes its engine: the other one has read the released lease and writes
// itself down as the owner after the host has acquired the lease and claimed the engine again.
func TestReturningAndNextOwnerDoNotBothOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memStore{objects: map[string]platform.Object{}}
		began := time.Now()
		now := func() time.Duration { return time.Since(began) + time.Hour }
		old := NewLease(LeaseOptions{Holder: "a", Store: store, Eras: &platform.Eras{}, Now: now, Log: quietLog()})
		if err := old.renew(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, _, err := old.Claim(t.Context(), "e1"); err != nil {
			t.Fatal(err)
		}
		if err := old.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
		returned := NewLease(LeaseOptions{Holder: "a", Store: store, Eras: &platform.Eras{}, Now: now, Log: quietLog()})
		var returnedErr error
		other := NewLease(LeaseOptions{Holder: "b", Eras: &platform.Eras{}, Now: now, Log: quietLog(), Store: &pausingStore{store, func() {
			if err := returned.renew(t.Context()); err != nil {
				t.Error(err)
			}
			_, _, returnedErr = returned.Claim(t.Context(), "e1")
		}}})
		if err := other.renew(t.Context()); err != nil {
			t.Fatal(err)
		}
		_, _, otherErr := other.Claim(t.Context(), "e1")
		if (returnedErr == nil) == (otherErr == nil) {
			t.Errorf("claims of the returning and of the other host ended with %v and %v, want one of them to succeed", returnedErr, otherErr)
		}
	})
}

// TestReturningOwnerKeepsEnginesWithoutWaiting covers a restart on the same machine.
func TestReturningOwnerKeepsEnginesWithoutWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, _ := newTestOwner(t, newFakeEngine())
		o.Leave(t.Context())
		next := NewLease(LeaseOptions{Holder: o.holder, Store: o.lease.store, Eras: &platform.Eras{}, Now: o.now, Log: quietLog()})
		if err := next.renew(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, taken, err := next.Claim(t.Context(), "e1"); err != nil || taken {
			t.Errorf("got taken over %v and error %v, want false and none", taken, err)
		}
	})
}

// TestEngineWaitsForItsReturningOwner covers a planned stop: the coordinator asks the next
// process on the owner's machine, and another host only if none starts.
func TestEngineWaitsForItsReturningOwner(t *testing.T) {
	for _, returns := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) { checkReturningOwner(t, returns) })
	}
}

func checkReturningOwner(t *testing.T, returns bool) {
	t.Helper()
	c, now := testCoordinator()
	calls := &recordingCaller{}
	c.calls = calls
	c.fleetView.SetConfig(&fleet.Config{Version: 1, Services: map[string]fleet.Service{"s": {Engine: &fleet.EngineSpec{}}}})
	c.fleetView.SetTargets(fleet.NewTargets(map[string]fleet.Target{"e1": {ID: "e1", Service: "s"}}))
	c.Report("other", Report{Incarnation: "1", Full: true})
	c.Report("owner", Report{Incarnation: "1", Full: true, Owned: []EngineView{{ID: "e1", FromOwner: true, Owner: "owner"}}})
	c.Report("owner", Report{Incarnation: "1", Leaving: true, Owned: []EngineView{{ID: "e1"}}})
	step := func(d time.Duration) []string {
		*now += d
		c.Report("other", Report{Incarnation: "1"})
		c.expire(*now)
		c.assignOwners(t.Context(), *now)
		return calls.take()
	}
	if asked := step(time.Second); len(asked) != 0 {
		t.Errorf("returns %v: asked %v one second after the release", returns, asked)
	}
	want := "other"
	if returns {
		want = "owner"
		c.Report("owner", Report{Incarnation: "2", Full: true})
	}
	if asked := step(1100 * time.Millisecond); len(asked) != 1 || asked[0] != want {
		t.Errorf("returns %v: asked %v, want %s", returns, asked, want)
	}
}

// TestErrorsNameTheirSubject checks the errors that a host reads in its log to find out why an
// engine was not ordered.
func TestErrorsNameTheirSubject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, _ := newTestOwner(t, newFakeEngine())
		var missing *MissingModelError
		if err := o.LoadAdapter(t.Context(), AdapterCommand{Engine: "e1", Model: "c", Adapter: "x"}); !errors.As(err, &missing) || missing.Model != "c" {
			t.Errorf("got %v for an adapter of a model that the engine lacks", err)
		}
		other := NewLease(LeaseOptions{Holder: "b", Store: o.lease.store, Eras: &platform.Eras{}, Now: o.now, Log: quietLog()})
		var elsewhere *OwnedElsewhereError
		if _, _, err := other.Claim(t.Context(), "e1"); !errors.As(err, &elsewhere) || elsewhere.Engine != "e1" {
			t.Errorf("got %v for an engine of another host", err)
		}
	})
}

// TestStoreLoadIsNotForgotten checks that a move is expected to take as long as its owner may
// take for it.
func TestStoreLoadIsNotForgotten(t *testing.T) {
	if longest := unloadTimeout + storeLoadTimeout; storeMoveExpiry <= longest {
		t.Errorf("a move is forgotten after %v, its unload and load may take %v", storeMoveExpiry, longest)
	}
}

// TestOnlyTheCoordinatorAssignsOwners covers a host that has lost the coordinator for a moment and
// reports to the next one, which still reports to the coordinator itself. In a large fleet there
// is such a host at almost any time.
func TestOnlyTheCoordinatorAssignsOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, now := testCoordinator()
		calls := &recordingCaller{}
		c.calls = calls
		c.fleetView.SetConfig(&fleet.Config{Version: 1, Services: map[string]fleet.Service{"s": {Engine: &fleet.EngineSpec{}}}})
		c.fleetView.SetTargets(fleet.NewTargets(map[string]fleet.Target{"e1": {ID: "e1", Service: "s"}}))
		c.Follow("coordinator")
		if u := c.Report("lost", Report{Incarnation: "1", Full: true}); u.Coordinator != "coordinator" || len(u.LiveHosts) > 0 || u.UseEpoch != 0 {
			t.Errorf("reply %+v of a deputy, want the coordinator's name and nothing on other hosts", u)
		}
		step := func() []string {
			for range 10 {
				*now += reportInterval
				c.Report("lost", Report{Incarnation: "1"})
				if c.hosts[c.self] != nil {
					c.Report(c.self, Report{Incarnation: "1"})
				}
				c.step(t.Context())
			}
			return calls.take()
		}
		if asked := step(); len(asked) != 0 {
			t.Errorf("asked %v to own an engine while this host reports to another coordinator", asked)
		}
		c.Follow(c.self)
		c.Report(c.self, Report{Incarnation: "1", Full: true})
		c.step(t.Context())
		if asked := calls.take(); len(asked) != 0 {
			t.Errorf("asked %v to own an engine as soon as it is the coordinator, before other hosts can have reported", asked)
		}
		if asked := step(); len(asked) == 0 {
			t.Error("asked nobody to own the engine although this host is the coordinator")
		}
	})
}

// TestEnginesOfCutOffHostMove guards against engines that get no orders while their owner has lost its way to them: it gives
// them up, nobody asks it to own them, and the next owner need not wait for the end of its lease.
func TestEnginesOfCutOffHostMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		o, _ := newTestOwner(t, engine)
		if !o.Yield(t.Context()) {
			t.Fatal("there was no engine to give up")
		}
		before := engine.calls()
		if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}}); err == nil {
			t.Error("a move was accepted after the engines were given up")
		}
		next := NewLease(LeaseOptions{Holder: "h2@ip", Store: o.lease.store, Eras: &platform.Eras{}, Now: o.now, Log: quietLog()})
		if err := next.renew(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, taken, err := next.Claim(t.Context(), "e1"); err != nil || !taken {
			t.Errorf("got taken over %v and error %v, want true and none", taken, err)
		}
		time.Sleep(10 * time.Second)
		if n := engine.calls() - before; n > 0 {
			t.Errorf("%d calls to the engine after it was given up", n)
		}
		var elsewhere *OwnedElsewhereError
		if err := o.Own(t.Context(), "e1"); !errors.As(err, &elsewhere) && err != nil {
			t.Errorf("the host that is back claims the engine: %v", err)
		}
	})
	c, now := testCoordinator()
	calls := &recordingCaller{}
	c.calls = calls
	c.fleetView.SetConfig(&fleet.Config{Version: 1, Services: map[string]fleet.Service{"s": {Engine: &fleet.EngineSpec{}}}})
	c.fleetView.SetTargets(fleet.NewTargets(map[string]fleet.Target{"e1": {ID: "e1", Service: "s"}}))
	c.Report("a", Report{Incarnation: "1", Full: true, CutOff: true, Unreachable: []string{"e1"}})
	c.Report("b", Report{Incarnation: "1", Full: true})
	synctest.Test(t, func(t *testing.T) {
		c.assignOwners(t.Context(), *now)
		if asked := calls.take(); len(asked) != 1 || asked[0] != "b" {
			t.Errorf("asked %v, want the host that reaches engines", asked)
		}
	})
	if u := c.Report("b", Report{Incarnation: "1"}); len(u.CutOffHosts) > 0 && u.CutOffHosts[0] != "a" {
		t.Errorf("hosts are told that %v are cut off", u.CutOffHosts)
	}
}

// TestCutOffHostBlamesNoEngine guards against targets being taken for unreachable by all since hosts that have lost their way
// to all of them say so.
func TestCutOffHostBlamesNoEngine(t *testing.T) {
	c := testClient("a", fleet.Host{Name: "a"})
	cutOff := false
	c.opts.CutOff = func() bool { return cutOff }
	c.opts.LocalUse = func() map[string]float64 { return nil }
	c.opts.Owner = &Owner{lease: NewLease(LeaseOptions{Holder: "a", Eras: &platform.Eras{}, Now: c.opts.Now, Log: quietLog()}), fleetView: c.opts.FleetView}
	c.opts.FleetView.SetTargets(fleet.NewTargets(map[string]fleet.Target{"e1": {ID: "e1"}}))
	c.opts.FleetView.RecordUnreachable("e1")
	if r := c.nextReport(nil); len(r.Unreachable) != 1 || r.CutOff {
		t.Errorf("a host that reaches others reports %v, cut off %v", r.Unreachable, r.CutOff)
	}
	cutOff = true
	if r := c.nextReport(nil); len(r.Unreachable) > 0 || !r.CutOff {
		t.Errorf("a host that is cut off reports %v, cut off %v", r.Unreachable, r.CutOff)
	}
}
