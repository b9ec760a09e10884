package placement

import "time"

// modelState is what the decider knows of one model.
type modelState struct {
	demands        map[string]*hostDemand // by host
	lastUse        time.Duration
	used           bool
	usage          usage
	replicasNeeded int
	addition       *addition
	waitingSince   time.Duration // start of the current waiting of requests
	prewarmUntil   time.Duration
	lastWaitingAt  time.Duration // last time when requests were waiting
	saturatedAt    time.Duration // since when all replicas are saturated, 0 if not
	retryUntil     time.Duration // keeps a replica loaded until then for callers told to retry
	readyBy        time.Duration // expected end of the load, 0 if none is planned
	reason         string        // of the last decision, for Status
}

// hostDemand is the latest demand of a host for a model.
type hostDemand struct {
	Demand
	receivedAt time.Duration
}

func (d *Decider) model(name string) *modelState {
	ms := d.models[name]
	if ms == nil {
		ms = &modelState{}
		d.models[name] = ms
	}
	return ms
}

// RecordDemand records the demand of a host for a model. It replaces the host's earlier
// demand for the model.
func (d *Decider) RecordDemand(now time.Duration, demand Demand) {
	spec, ok := d.specs[demand.Model]
	if !ok {
		return
	}
	ms := d.model(demand.Model)
	if demand.Started > 0 || demand.Waiting > 0 && ms.waiting() == 0 {
		d.recordArrival(ms, now)
	}
	if demand.Started > 0 || demand.Running > 0 || demand.Waiting > 0 {
		ms.lastUse = now
		ms.used = true
	}
	ms.setDemand(demand, now)
	d.demanded[demand.Model] = true
	if spec.Base == "" {
		return
	}
	// An adapter also needs its base model, earlier by the load time of the adapter.
	key := demand.Host + idSeparator + demand.Model
	lead := d.estimator.loadTime(routeAdapter, spec.Bytes)
	demand.Model = spec.Base
	demand.Host = key
	demand.Earliest -= lead
	demand.Latest -= lead
	demand.Started = 0
	base := d.model(demand.Model)
	base.setDemand(demand, now)
	d.demanded[demand.Model] = true
	base.lastUse = max(base.lastUse, ms.lastUse)
	base.used = true
}

func (ms *modelState) setDemand(demand Demand, now time.Duration) {
	if demand.Waiting > 0 && ms.waiting() == 0 {
		ms.waitingSince = now
	}
	if ms.demands == nil {
		ms.demands = map[string]*hostDemand{}
	}
	ms.demands[demand.Host] = &hostDemand{Demand: demand, receivedAt: now}
}

// expireDemand removes demand that was not repeated within DemandTTL.
func (d *Decider) expireDemand(now time.Duration) {
	for name := range d.demanded {
		ms := d.models[name]
		for host, demand := range ms.demands {
			if now-demand.receivedAt > d.opt.DemandTTL {
				delete(ms.demands, host)
			}
		}
		if ms.waiting() > 0 {
			ms.lastWaitingAt = now
		}
		if len(ms.demands) == 0 {
			ms.demands = nil
			delete(d.demanded, name)
		}
	}
}

func (ms *modelState) waiting() int {
	n := 0
	for _, demand := range ms.demands {
		n += demand.Waiting
	}
	return n
}

func (ms *modelState) running() int {
	n := 0
	for _, demand := range ms.demands {
		n += demand.Running
	}
	return n
}

// deadline returns the deadline for a load that ends at the given time: the earliest
// deadline that it can meet, or the latest of all if it can meet none.
func (ms *modelState) deadline(end time.Duration) time.Duration {
	var latest time.Duration
	best := time.Duration(-1)
	for _, demand := range ms.demands {
		if demand.Waiting == 0 {
			continue
		}
		latest = max(latest, demand.Latest)
		if demand.Earliest >= end && (best < 0 || demand.Earliest < best) {
			best = demand.Earliest
		}
	}
	if best >= 0 {
		return best
	}
	return latest
}

// RecordUse records a host's use of a model: the requests started since its last
// message and those running now. Waiting requests are recorded by RecordDemand.
func (d *Decider) RecordUse(now time.Duration, host, model string, started, running int) {
	spec, ok := d.specs[model]
	if !ok {
		return
	}
	d.recordModelUse(now, host, model, started, running)
	if spec.Base != "" {
		d.recordModelUse(now, host+idSeparator+model, spec.Base, 0, running)
	}
}

func (d *Decider) recordModelUse(now time.Duration, host, model string, started, running int) {
	ms := d.model(model)
	if started > 0 {
		d.recordArrival(ms, now)
	}
	ms.lastUse = now
	ms.used = true
	if demand := ms.demands[host]; demand != nil && demand.Waiting > 0 {
		demand.Running = running
		return
	}
	ms.setDemand(Demand{Host: host, Model: model, Running: running}, now)
	d.demanded[model] = true
}
