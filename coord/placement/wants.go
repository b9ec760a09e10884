package placement

import "time"

// modelState is kept for models that are wanted, loaded or were used.
type modelState struct {
	wants        map[string]*hostWant // by host
	lastUse      time.Duration
	used         bool
	use          usage
	need         int
	adding       *addition
	wantedAt     time.Duration // since when requests wait
	prewarmUntil time.Duration
	unwantedAt   time.Duration // when the last want ended
	saturatedAt  time.Duration // since when all replicas are saturated, 0 if not
	promise      time.Duration // callers were told to come back until then
	readyBy      time.Duration // expected end of the load, 0 if none is planned
	reason       string        // last decision in words
}

type hostWant struct {
	Demand
	at time.Duration
}

func (d *Decider) model(name string) *modelState {
	ms := d.models[name]
	if ms == nil {
		ms = &modelState{}
		d.models[name] = ms
	}
	return ms
}

// RecordDemand takes in what a host says of a model. Earlier words of the host on the
// model are replaced.
func (d *Decider) RecordDemand(now time.Duration, w Demand) {
	spec, ok := d.specs[w.Model]
	if !ok {
		return
	}
	ms := d.model(w.Model)
	if w.Started > 0 || w.Waiting > 0 && ms.waiting() == 0 {
		d.arrive(ms, now)
	}
	if w.Started > 0 || w.Running > 0 || w.Waiting > 0 {
		ms.lastUse = now
		ms.used = true
	}
	ms.put(w, now)
	d.wanted[w.Model] = true
	if spec.Base == "" {
		return
	}
	// An adapter needs its base model as well, a little earlier.
	key := w.Host + orderSeparator + w.Model
	lead := d.est.time(routeAdapter, spec.Bytes)
	w.Model = spec.Base
	w.Host = key
	w.Earliest -= lead
	w.Latest -= lead
	w.Started = 0
	base := d.model(w.Model)
	base.put(w, now)
	d.wanted[w.Model] = true
	base.lastUse = max(base.lastUse, ms.lastUse)
	base.used = true
}

func (ms *modelState) put(w Demand, now time.Duration) {
	if w.Waiting > 0 && ms.waiting() == 0 {
		ms.wantedAt = now
	}
	if ms.wants == nil {
		ms.wants = map[string]*hostWant{}
	}
	ms.wants[w.Host] = &hostWant{Demand: w, at: now}
}

// expire drops wants that were not repeated.
func (d *Decider) expire(now time.Duration) {
	for name := range d.wanted {
		ms := d.models[name]
		for host, w := range ms.wants {
			if now-w.at > d.opt.WantLife {
				delete(ms.wants, host)
			}
		}
		if ms.waiting() > 0 {
			ms.unwantedAt = now
		}
		if len(ms.wants) == 0 {
			ms.wants = nil
			delete(d.wanted, name)
		}
	}
}

func (ms *modelState) waiting() int {
	n := 0
	for _, w := range ms.wants {
		n += w.Waiting
	}
	return n
}

func (ms *modelState) running() int {
	n := 0
	for _, w := range ms.wants {
		n += w.Running
	}
	return n
}

// deadline returns the deadline that a load ending at the given time should
// meet: the earliest that it can, or the latest of all.
func (ms *modelState) deadline(end time.Duration) time.Duration {
	var latest time.Duration
	best := time.Duration(-1)
	for _, w := range ms.wants {
		if w.Waiting == 0 {
			continue
		}
		latest = max(latest, w.Latest)
		if w.Earliest >= end && (best < 0 || w.Earliest < best) {
			best = w.Earliest
		}
	}
	if best >= 0 {
		return best
	}
	return latest
}

// RecordUse takes in a host's use of a model: requests begun since its last message
// and running now. Requests that wait are told by Want.
func (d *Decider) RecordUse(now time.Duration, host, model string, used, running int) {
	spec, ok := d.specs[model]
	if !ok {
		return
	}
	d.use(now, host, model, used, running)
	if spec.Base != "" {
		d.use(now, host+orderSeparator+model, spec.Base, 0, running)
	}
}

func (d *Decider) use(now time.Duration, host, model string, used, running int) {
	ms := d.model(model)
	if used > 0 {
		d.arrive(ms, now)
	}
	ms.lastUse = now
	ms.used = true
	if w := ms.wants[host]; w != nil && w.Waiting > 0 {
		w.Running = running
		return
	}
	ms.put(Demand{Host: host, Model: model, Running: running}, now)
	d.wanted[model] = true
}
