package coldstart

import "time"

// loadForHost implements the baseline policy of Policy.PerHost. If there is no
// ready replica for a host's request, the host orders a load on an engine of its
// own choice and evicts the least recently used models there. It does nothing if
// another request of the host already waits for the model.
func (r *replay) loadForHost(req Request) {
	for _, w := range r.waiting[req.Model][:len(r.waiting[req.Model])-1] {
		if w.req.Host == req.Host {
			return
		}
	}
	spec := r.specs[req.Model]
	if spec.Base != "" {
		r.loadAdapterForHost(req)
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
	r.retryForHost(req)
}

// loadAdapterForHost loads an adapter onto an engine where its base model is
// ready, or else loads the base model first.
func (r *replay) loadAdapterForHost(req Request) {
	spec := r.specs[req.Model]
	for _, e := range r.engines {
		base := e.replicas[spec.Base]
		if base == nil || base.state != "ready" || e.replicas[req.Model] != nil || !e.evictLRU(spec.Bytes) {
			continue
		}
		e.load(req.Model, spec.Base, spec.Bytes, "own")
		return
	}
	if _, rep := r.readyReplica(spec.Base); rep == nil && len(r.waiting[spec.Base]) == 0 && !r.hasReplica(spec.Base) {
		base := req
		base.Model = spec.Base
		for _, e := range r.engines {
			if e.spec.Pool == spec.Pool && e.evictLRU(r.specs[spec.Base].Bytes) {
				e.load(base.Model, "", r.specs[spec.Base].Bytes, "own")
				break
			}
		}
	}
	r.retryForHost(req)
}

func (r *replay) hasReplica(model string) bool {
	for _, e := range r.engines {
		if e.replicas[model] != nil {
			return true
		}
	}
	return false
}

// retryForHost tries the load again after a delay if the request still waits.
func (r *replay) retryForHost(req Request) {
	r.after(100*time.Millisecond, func() {
		for _, w := range r.waiting[req.Model] {
			if w.req == req {
				if e, rep := r.readyReplica(req.Model); e != nil && rep != nil {
					return
				}
				r.loadForHost(req)
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
			if oldest == "" || rep.lastUsed < e.replicas[oldest].lastUsed || rep.lastUsed == e.replicas[oldest].lastUsed && name < oldest {
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

// unloadIdle unloads the models that have been idle for longer than ModelSpec.Idle.
func (r *replay) unloadIdle() {
	for _, e := range r.engines {
		for name, rep := range e.replicas {
			if rep.state == "ready" && rep.running == 0 && !e.hasAdapter(name) && r.now-rep.lastUsed > r.specs[name].Idle {
				e.unload(name)
			}
		}
	}
}
