package main

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// adapter is an adapter at an engine.
type adapter struct {
	key       string // MODEL/NAME
	uses      int    // requests that use it
	pending   bool   // on its way from the store
	unloading bool   // waits for the requests that use it
}

// adapterTime is how long an adapter takes to load: 5 to 9.7 ms on the sheet.
const adapterTime = 7 * time.Millisecond

// lateWindow is a time in which a share of the orders gets no answer and is carried out 2 to 12 s later.
type lateWindow struct {
	from, to time.Time
	share    float64
}

// leavesUnanswered reports whether an order gets no answer. It is carried out late then, whatever the engine was ordered meanwhile.
func (e *engine) leavesUnanswered(body []byte) bool {
	e.mu.Lock()
	w := e.late
	e.mu.Unlock()
	if now := time.Now(); now.Before(w.from) || now.After(w.to) || rand.Float64() >= w.share {
		return false
	}
	delay := 2*time.Second + rand.N(10*time.Second)
	e.rig.note("engine %s leaves an order unanswered and carries it out %.1f s later: %s", e.id, delay.Seconds(), body)
	go func() {
		select {
		case <-time.After(delay):
			e.rig.note("engine %s carries out a late order", e.id)
			defer func() { _ = recover() }() // of an order that crashes it
			e.order(nullWriter{}, body)
		case <-e.stopped:
		}
	}()
	return true
}

// nullWriter takes the answer to an order that nobody waits for any more.
type nullWriter struct{}

func (nullWriter) Header() http.Header         { return http.Header{} }
func (nullWriter) Write(p []byte) (int, error) { return len(p), nil }
func (nullWriter) WriteHeader(int)             {}

// orderAdapter carries out an order for an adapter. The caller must hold e.mu.
func (e *engine) orderAdapter(w http.ResponseWriter, load bool, model, name string, precondition *int64) {
	key := model + "/" + name
	a := e.adapted[key]
	switch {
	case !e.loaded[model]:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case load && a != nil && a.pending, !load && a != nil && a.unloading: // it is carried out already
		w.WriteHeader(http.StatusAccepted)
	case load && a != nil && !a.unloading, !load && a == nil: // it holds already
		w.WriteHeader(http.StatusOK)
	case e.loading != "", precondition != nil && *precondition != e.seq, a != nil && (a.pending || load):
		w.WriteHeader(http.StatusConflict)
	case load && len(e.adapted) >= e.slotsFor:
		go e.onLimit(e, key)
		panic(http.ErrAbortHandler)
	case load:
		e.seq++
		a = &adapter{key: key, pending: true}
		e.adapted[key] = a
		time.AfterFunc(adapterTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			a.pending = false
		})
		w.WriteHeader(http.StatusAccepted)
	case a.uses > 0:
		e.seq++
		a.unloading = true
		w.WriteHeader(http.StatusAccepted)
	default:
		e.seq++
		delete(e.adapted, key)
		w.WriteHeader(http.StatusOK)
	}
}

// endUse records that a request that used an adapter has ended. The caller must hold e.mu.
func (e *engine) endUse(a *adapter) {
	if a.uses--; a.uses == 0 && a.unloading && e.adapted[a.key] == a {
		delete(e.adapted, a.key)
	}
}

func (e *engine) dropAdapters(model string) {
	for key := range e.adapted {
		if strings.HasPrefix(key, model+"/") {
			delete(e.adapted, key)
		}
	}
}

// adaptersOf returns the loaded adapters of a model. The caller must hold e.mu.
func (e *engine) adaptersOf(model string) []string {
	out := []string{}
	for key, a := range e.adapted {
		if m, name, _ := strings.Cut(key, "/"); m == model && !a.pending {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// pendingAdapters returns the adapters on their way. The caller must hold e.mu.
func (e *engine) pendingAdapters() []string {
	out := []string{}
	for key, a := range e.adapted {
		if a.pending {
			out = append(out, key+"@1")
		}
	}
	return out
}

// heartbeats writes the engine's entry about every heartbeat_ms, until it stops.
func (e *engine) heartbeats() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.register("ready")
		case <-e.stopped:
			return
		}
	}
}
