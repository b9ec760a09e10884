package placement

import (
	"fmt"
	"maps"
	"runtime"
	"testing"
	"time"
)

// newBenchDecider returns an active decider for the given numbers of models, adapters
// and engines. Each engine has two base models loaded. Half of the adapters whose base
// model is loaded have a slot, and a tenth are loaded.
func newBenchDecider(models, adapters, engines int) *Decider {
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
	enginesWith := map[string][]int{}
	add := func(i int, m ModelSpec) {
		rec, report := &stored[i].Record, &reports[i]
		decision := fmt.Sprintf("d%d", len(rec.Slots)+i*1000)
		rec.Slots = append(rec.Slots, Slot{Decision: decision, Model: m.Name, Base: m.Base, Bytes: m.Bytes, Phase: PhaseHold})
		report.Replicas[m.Name] = Replica{State: StateReady, Order: decision, Bytes: m.Bytes}
		report.Used += m.Bytes
		base := m.claimBase()
		if claims[base] == nil {
			claims[base] = &ClaimRecord{Base: base}
		}
		claims[base].Claims = append(claims[base].Claims, Claim{Decision: decision, Model: m.Name, Target: rec.Target})
		enginesWith[m.Name] = append(enginesWith[m.Name], i)
	}
	for i, t := range targets {
		stored[i] = StoredTarget{Record: TargetRecord{Target: t.Name}, Version: uint64(i + 1)}
		reports[i] = Report{Incarnation: "1", Sequence: 1, Capacity: t.Bytes, Replicas: map[string]Replica{}, TakenAt: time.Second}
		for k := range 2 {
			add(i, specs[i%4+4*((i/4+7*k)%(models/4))])
		}
	}
	// Every second adapter gets a slot, every tenth is loaded.
	for j := models; j < len(specs); j += 2 {
		withBase := enginesWith[specs[j].Base]
		if len(withBase) == 0 {
			continue
		}
		i := withBase[j/models%len(withBase)]
		add(i, specs[j])
		if j%10 != 1 {
			delete(reports[i].Replicas, specs[j].Name)
		}
	}
	for i, t := range targets {
		d.RecordReport(time.Second, t.Name, reports[i])
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

// busyStep runs a step with new demand for 30 adapters, lets all its actions succeed,
// and returns their number.
func (d *Decider) busyStep(now time.Duration, adapters int) int {
	for i := range 30 {
		d.RecordDemand(now, Demand{Host: "h", Model: fmt.Sprintf("a%05d", (int(now/time.Millisecond)*31+i*997)%adapters), Waiting: 1, Earliest: now + 10*time.Second, Latest: now + 10*time.Second})
	}
	actions := d.Step(now)
	for _, a := range actions {
		d.serial++
		d.Done(now, Result{Action: a, Version: 1<<20 + d.serial, Target: d.target(a.Name).rec.Clone()})
		if a.Kind == SendOrder {
			d.applyOrder(a.Name, a.Order)
		}
	}
	for _, name := range d.BusyTargets() {
		report := *d.target(name).report
		report.TakenAt = now + time.Millisecond
		d.RecordReport(now, name, report)
	}
	return len(actions)
}

// applyOrder passes the decider a report in which the order has been carried out.
func (d *Decider) applyOrder(name string, o Order) {
	report := *d.target(name).report
	report.Replicas = maps.Clone(report.Replicas)
	report.Sequence++
	report.MaxFence = max(report.MaxFence, o.Fence)
	if o.Op == OrderLoad {
		report.Replicas[o.Model] = Replica{State: StateReady, Order: o.Decision, Bytes: o.Bytes}
	} else {
		delete(report.Replicas, o.Model)
	}
	d.RecordReport(d.now, name, report)
}

// BenchmarkQuietStep measures a step without demand.
func BenchmarkQuietStep(b *testing.B) {
	d := newBenchDecider(61, 41000, 4900)
	d.SetTimeouts(3*time.Second, 2*time.Second, 24*time.Hour)
	now := 2 * time.Second
	for b.Loop() {
		now += 100 * time.Millisecond
		d.Step(now)
	}
}

// BenchmarkStep measures a step with demand for 30 adapters and a part of the sweep for
// idle models, and the memory of the decider.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ models, adapters, engines int }{{61, 4100, 490}, {61, 20500, 2450}, {61, 41000, 4900}} {
		b.Run(fmt.Sprintf("%d-%d-%d", size.models, size.adapters, size.engines), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			d := newBenchDecider(size.models, size.adapters, size.engines)
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
