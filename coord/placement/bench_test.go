package placement

import (
	"fmt"
	"maps"
	"runtime"
	"testing"
	"time"
)

// fleet is a decider that knows the given fleet, all bases loaded on as many
// engines as there are and a part of the adapters held.
func fleet(models, adapters, engines int) *Decider {
	d := NewDecider(DefaultOptions("d"))
	var targets []TargetSpec
	var specs []ModelSpec
	for i := range engines {
		targets = append(targets, TargetSpec{Name: fmt.Sprintf("e%04d", i), Pool: fmt.Sprint(i % 4), Bytes: 640e9, ChecksFence: true, OrderTTL: time.Minute})
	}
	for i := range models {
		specs = append(specs, ModelSpec{Name: fmt.Sprintf("m%02d", i), Pool: fmt.Sprint(i % 4), Bytes: 100e9, MaxReplicas: engines, Idle: time.Hour})
	}
	for i := range adapters {
		base := i % models
		specs = append(specs, ModelSpec{Name: fmt.Sprintf("a%05d", i), Base: specs[base].Name, Pool: specs[base].Pool, Bytes: 2e8, MaxReplicas: 4, Idle: time.Hour})
	}
	d.Configure(targets, specs)
	stored := make([]StoredTarget, engines)
	reports := make([]Report, engines)
	claims := map[string]*ClaimRecord{}
	holders := map[string][]int{}
	add := func(i int, m ModelSpec) {
		rec, rep := &stored[i].Record, &reports[i]
		dec := fmt.Sprintf("d%d", len(rec.Slots)+i*1000)
		rec.Slots = append(rec.Slots, Slot{Decision: dec, Model: m.Name, Base: m.Base, Bytes: m.Bytes, Phase: PhaseHold})
		rep.Replicas[m.Name] = Replica{State: StateReady, Order: dec, Bytes: m.Bytes}
		rep.Used += m.Bytes
		base := m.claimBase()
		if claims[base] == nil {
			claims[base] = &ClaimRecord{Base: base}
		}
		claims[base].Claims = append(claims[base].Claims, Claim{Decision: dec, Model: m.Name, Target: rec.Target})
		holders[m.Name] = append(holders[m.Name], i)
	}
	for i, t := range targets {
		stored[i] = StoredTarget{Record: TargetRecord{Target: t.Name}, Version: uint64(i + 1)}
		reports[i] = Report{Incarnation: "1", Sequence: 1, Capacity: t.Bytes, Replicas: map[string]Replica{}, TakenAt: time.Second}
		for k := range 2 {
			add(i, specs[i%4+4*((i/4+7*k)%(models/4))])
		}
	}
	// Every second adapter holds a slot, a tenth of all is loaded.
	for j := models; j < len(specs); j += 2 {
		at := holders[specs[j].Base]
		if len(at) == 0 {
			continue
		}
		i := at[j/models%len(at)]
		add(i, specs[j])
		if j%10 != 1 {
			delete(reports[i].Replicas, specs[j].Name)
		}
	}
	for i, t := range targets {
		d.Report(time.Second, t.Name, reports[i])
	}
	version := uint64(engines)
	var storedClaims []StoredClaims
	for _, base := range sortedKeys(claims) {
		version++
		storedClaims = append(storedClaims, StoredClaims{Record: *claims[base], Version: version})
	}
	d.Sync(time.Second, time.Second, stored, storedClaims, version)
	d.SetActive(true)
	d.Step(time.Second)
	return d
}

// busy is a second's input: new wants for idle adapters and bases.
func (d *Decider) busyStep(now time.Duration, adapters int) int {
	for i := range 30 {
		d.RecordDemand(now, Demand{Host: "h", Model: fmt.Sprintf("a%05d", (int(now/time.Millisecond)*31+i*997)%adapters), Waiting: 1, Earliest: now + 10*time.Second, Latest: now + 10*time.Second})
	}
	actions := d.Step(now)
	for _, a := range actions {
		d.serial++
		d.Done(now, Result{Action: a, Version: 1<<20 + d.serial, Target: d.target(a.Name).rec.Clone()})
		if a.Kind == SendOrder {
			d.carryOut(a.Name, a.Order)
		}
	}
	for _, name := range d.BusyTargets() {
		rep := *d.target(name).rep
		rep.TakenAt = now + time.Millisecond
		d.Report(now, name, rep)
	}
	return len(actions)
}

// carryOut shows an order as carried out in the target's report.
func (d *Decider) carryOut(name string, o Order) {
	rep := *d.target(name).rep
	rep.Replicas = maps.Clone(rep.Replicas)
	rep.Sequence++
	rep.MaxFence = max(rep.MaxFence, o.Fence)
	if o.Op == OrderLoad {
		rep.Replicas[o.Model] = Replica{State: StateReady, Order: o.Decision, Bytes: o.Bytes}
	} else {
		delete(rep.Replicas, o.Model)
	}
	d.Report(d.now, name, rep)
}

// BenchmarkQuietStep measures a step while nobody wants anything.
func BenchmarkQuietStep(b *testing.B) {
	d := fleet(61, 41000, 4900)
	d.SetTimeouts(3*time.Second, 2*time.Second, 24*time.Hour)
	now := 2 * time.Second
	for b.Loop() {
		now += 100 * time.Millisecond
		d.Step(now)
	}
}

// BenchmarkStep measures one step with 30 idle adapters wanted and the sweep
// for idle models, and the memory of the decider.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ models, adapters, engines int }{{61, 4100, 490}, {61, 20500, 2450}, {61, 41000, 4900}} {
		b.Run(fmt.Sprintf("%d-%d-%d", size.models, size.adapters, size.engines), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			d := fleet(size.models, size.adapters, size.engines)
			runtime.GC()
			runtime.ReadMemStats(&after)
			d.SetTimeouts(3*time.Second, 2*time.Second, time.Hour)
			slots := 0
			for _, ts := range d.targets {
				slots += len(ts.rec.Slots)
			}
			now := 2 * time.Second
			b.ResetTimer()
			for range b.N {
				now += time.Second
				d.busyStep(now, size.adapters)
			}
			b.ReportMetric(float64(slots), "slots")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
			runtime.KeepAlive(d)
		})
	}
}
