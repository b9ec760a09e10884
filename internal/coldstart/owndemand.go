package coldstart

import "time"

// ownLoad is the first baseline: a host that has no ready replica for its
// request orders a load on an engine of its own choice, unless it did so
// already, and evicts the least recently used models there.
func (r *replay) ownLoad(req Request) {
	for _, w := range r.waiting[req.Model][:len(r.waiting[req.Model])-1] {
		if w.req.Host == req.Host {
			return
		}
	}
	spec := r.specs[req.Model]
	if spec.Base != "" {
		r.ownAdapter(req)
		return
	}
	n := len(r.engines)
	for i := range n {
		e := r.engines[(req.Host*5+i)%n]
		if e.spec.Pool != spec.Pool || e.replicas[req.Model] != nil || !e.evictLRU(spec.Bytes) {
			continue
		}
		e.load(req.Model, "", spec.Bytes, "own")
		return
	}
	r.retryOwn(req)
}

// ownAdapter loads the base model first.
func (r *replay) ownAdapter(req Request) {
	spec := r.specs[req.Model]
	for _, e := range r.engines {
		base := e.replicas[spec.Base]
		if base == nil || base.state != "ready" || e.replicas[req.Model] != nil || !e.evictLRU(spec.Bytes) {
			continue
		}
		e.load(req.Model, spec.Base, spec.Bytes, "own")
		return
	}
	if _, rep := r.replicaOf(spec.Base); rep == nil && len(r.waiting[spec.Base]) == 0 && !r.loading(spec.Base) {
		base := req
		base.Model = spec.Base
		for _, e := range r.engines {
			if e.spec.Pool == spec.Pool && e.evictLRU(r.specs[spec.Base].Bytes) {
				e.load(base.Model, "", r.specs[spec.Base].Bytes, "own")
				break
			}
		}
	}
	r.retryOwn(req)
}

func (r *replay) loading(model string) bool {
	for _, e := range r.engines {
		if e.replicas[model] != nil {
			return true
		}
	}
	return false
}

// retryOwn tries again while the request waits.
func (r *replay) retryOwn(req Request) {
	r.after(100*time.Millisecond, func() {
		for _, w := range r.waiting[req.Model] {
			if w.req == req {
				if e, rep := r.replicaOf(req.Model); e != nil && rep != nil {
					return
				}
				r.ownLoad(req)
				return
			}
		}
	})
}

// evictLRU unloads the least recently used idle models until there is room.
func (e *engine) evictLRU(bytes int64) bool {
	for e.used()+bytes > e.spec.Bytes {
		oldest := ""
		for name, rep := range e.replicas {
			if rep.running > 0 || rep.state != "ready" || e.hasAdapter(name) {
				continue
			}
			if oldest == "" || rep.usedAt < e.replicas[oldest].usedAt || rep.usedAt == e.replicas[oldest].usedAt && name < oldest {
				oldest = name
			}
		}
		if oldest == "" {
			return false
		}
		e.unload(oldest)
	}
	return true
}

func (e *engine) hasAdapter(base string) bool {
	for _, rep := range e.replicas {
		if rep.base == base {
			return true
		}
	}
	return false
}

// unloadIdle unloads what has been idle for ModelSpec.Idle.
func (r *replay) unloadIdle() {
	for _, e := range r.engines {
		for name, rep := range e.replicas {
			if rep.state == "ready" && rep.running == 0 && !e.hasAdapter(name) && r.now-rep.usedAt > r.specs[name].Idle {
				e.unload(name)
			}
		}
	}
}
