package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for a sound engine of a service, by PROTOCOL.md: a model engine if it has models, otherwise a plain one.
type engine struct {
	rig      *rig
	id       string
	service  string
	version  string
	zone     string
	born     int64
	address  string
	models   []string
	slots    int
	events   int            // of a stream
	gap      time.Duration  // between two events
	work     time.Duration  // of a plain request
	loadTime time.Duration  // of a model from its own disk
	holds    []string       // the models that it holds at its start; nil: all that are on its disk
	weights  map[string]int // of the models, in MB; with capacity
	capacity int            // weights_mb of the service; 0: not looked at
	onLimit  func(e *engine, model string)
	slotsFor int        // adapter_slots of the service; 0: it takes no adapters
	late     lateWindow // of orders that it leaves unanswered and carries out late
	silentAt time.Time  // from then on it is silent for a time, once
	silence  time.Duration
	onAnswer func(e *engine, w http.ResponseWriter, r *http.Request) bool

	mu      sync.Mutex
	server  *http.Server
	loaded  map[string]bool
	loading string
	adapted map[string]*adapter // loaded adapters by MODEL/NAME
	seq     int64
	running int
	stopped chan struct{}
}

// startEngine starts an engine at a free loopback port and registers it.
func (r *rig) startEngine(e *engine) *engine {
	e.rig, e.born, e.stopped, e.loaded, e.adapted = r, time.Now().UnixMilli(), make(chan struct{}), map[string]bool{}, map[string]*adapter{}
	held := e.models
	if e.holds != nil {
		held = e.holds
	}
	for _, m := range held {
		e.loaded[m] = true
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	e.address = l.Addr().String()
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	e.register("ready")
	r.note("engine %s of %s, version %s, starts at %s", e.id, e.service, e.version, e.address)
	return e
}

func (e *engine) register(state string) {
	e.mu.Lock()
	spec := map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots, "state": state, "cold_left_ms": 0, "born": e.born, "seq": e.seq}
	if len(e.models) > 0 {
		spec["stage"], spec["models"] = "mixed", e.modelList()
		spec["available"] = map[string]any{"in_memory": []string{}, "on_disk": e.models}
	}
	e.mu.Unlock()
	e.rig.store.put("servers", e.id, spec)
}

func (e *engine) modelList() []any {
	out := []any{}
	for _, m := range e.models {
		if e.loaded[m] {
			out = append(out, map[string]any{"name": m, "version": 1, "adapters": e.adaptersOf(m)})
		}
	}
	return out
}

// crash ends the engine as if its process were killed: its channels are closed, its streams are cut off, and it sends nothing more. Its entry
// lapses after three intervals of silence.
func (e *engine) crash() {
	e.rig.note("engine %s crashes, %d requests are cut off", e.id, e.busy())
	close(e.stopped)
	_ = e.server.Close()
	go func() {
		time.Sleep(3 * heartbeat)
		e.rig.store.remove("servers", e.id)
		e.rig.note("entry of engine %s has lapsed", e.id)
	}()
}

// leave ends the engine as planned, without reporting that it drains: its entry is removed, it serves on for the time of drain_ms and some seconds
// longer, and then exits.
func (e *engine) leave() {
	e.rig.store.remove("servers", e.id)
	e.rig.note("engine %s leaves: its entry is removed, it serves on", e.id)
	go func() {
		time.Sleep(6 * time.Second)
		e.rig.note("engine %s exits, %d requests are cut off", e.id, e.busy())
		close(e.stopped)
		_ = e.server.Close()
	}()
}

func (e *engine) busy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body []byte
	var err error
	if r.URL.Path == "/order" {
		body, err = io.ReadAll(r.Body)
	} else {
		_, err = io.Copy(io.Discard, r.Body)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("Buckthornseam-Expect-Instance"); id != "" && id != e.id {
		w.Header().Set("Buckthornseam-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"stage": "mixed", "models": e.modelList(), "busy": e.loading != "", "seq": e.seq, "waiting": 0, "running": e.running,
			"kv_used": 0, "kv_total": 250000, "handles": 0, "pending": e.pendingAdapters(), "born": e.born, "available": map[string]any{"in_memory": []string{}, "on_disk": e.models}})
	case r.URL.Path == "/order":
		if e.leavesUnanswered(body) {
			<-r.Context().Done() // nothing is answered
			panic(http.ErrAbortHandler)
		}
		e.order(w, body)
	case r.URL.Path == "/healthz":
		w.Header().Set("Buckthornseam-Instance-Id", e.id)
	default:
		e.run(w, r)
	}
}

func (e *engine) order(w http.ResponseWriter, body []byte) {
	var o struct {
		Operation    string `json:"operation"`
		Model        string `json:"model"`
		Adapter      string `json:"adapter"`
		Holder       string `json:"holder"`
		Token        *int64 `json:"fencing_token"`
		Precondition *int64 `json:"precondition"`
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Token == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.rig.note("order at %s: %s", e.id, body)
	e.mu.Lock()
	defer e.mu.Unlock()
	load := o.Operation == "load"
	if o.Adapter != "" {
		e.orderAdapter(w, load, o.Model, o.Adapter, o.Precondition)
		return
	}
	switch {
	case load && e.loading == o.Model:
		w.WriteHeader(http.StatusAccepted)
	case e.loading != "":
		w.WriteHeader(http.StatusConflict)
	case e.loaded[o.Model] == load:
		w.WriteHeader(http.StatusOK)
	case o.Precondition != nil && *o.Precondition != e.seq:
		w.WriteHeader(http.StatusConflict)
	case load && e.overCapacity(o.Model):
		go e.onLimit(e, o.Model)
		panic(http.ErrAbortHandler)
	default:
		e.seq++
		if load {
			e.loading = o.Model
			go e.finishLoad(o.Model)
		} else {
			e.loaded[o.Model] = false
			e.dropAdapters(o.Model)
		}
		w.WriteHeader(http.StatusAccepted)
	}
}

// overCapacity reports whether a load would exceed what the engine may hold. The caller must hold e.mu.
func (e *engine) overCapacity(model string) bool {
	total := e.weights[model]
	for m, there := range e.loaded {
		if there {
			total += e.weights[m]
		}
	}
	return e.capacity > 0 && total > e.capacity
}

func (e *engine) finishLoad(model string) {
	time.Sleep(e.loadTime)
	e.mu.Lock()
	e.loaded[model], e.loading = true, ""
	e.mu.Unlock()
	e.rig.note("engine %s has loaded %s", e.id, model)
	e.register("ready")
}

// restart crashes the engine. It starts again a time later at the same address and under the same id, with another software version, and then
// holds nothing but its disk.
func (e *engine) restart(version string, down time.Duration) {
	e.rig.note("engine %s crashes, %d requests are cut off", e.id, e.busy())
	close(e.stopped)
	_ = e.server.Close()
	time.Sleep(down)
	next := &engine{rig: e.rig, id: e.id, service: e.service, version: version, zone: e.zone, models: e.models, slots: e.slots, events: e.events, gap: e.gap, loadTime: e.loadTime}
	next.born, next.stopped, next.loaded, next.address = time.Now().UnixMilli(), make(chan struct{}), map[string]bool{}, e.address
	l, err := net.Listen("tcp", e.address)
	check(err)
	next.server = &http.Server{Handler: next}
	go func() { _ = next.server.Serve(l) }()
	next.register("ready")
	e.rig.note("engine %s starts again, version %s", e.id, version)
}

// run runs a request as a sound engine does.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Buckthornseam-Attempt-Id")
	if id == "" {
		w.Header().Set("Buckthornseam-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Buckthornseam-Attempt-Id", id)
	if e.onAnswer != nil && e.onAnswer(e, w, r) {
		return
	}
	model, name, _ := strings.Cut(r.Header.Get("Buckthornseam-Model"), "/")
	e.mu.Lock()
	a := e.adapted[model+"/"+name]
	missing, full := model != "" && !e.loaded[model] || name != "" && (a == nil || a.pending), e.running >= e.slots
	full = full || a != nil && a.unloading
	if !missing && !full {
		e.running++
		if a != nil {
			a.uses++
		}
	}
	e.mu.Unlock()
	switch {
	case missing:
		w.Header().Set("Buckthornseam-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case full:
		w.Header().Set("Buckthornseam-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		if a != nil {
			e.endUse(a)
		}
		e.mu.Unlock()
	}()
	e.rig.ran(e, r)
	w.Header().Set("Buckthornseam-Server-Stamp", fmt.Sprintf("stamp-%s-%s", e.id, id))
	if model == "" {
		e.sleep(r, e.work)
		_, _ = fmt.Fprintf(w, "answer to %s by %s", id, e.id)
		return
	}
	w.Header().Set("Buckthornseam-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= e.events; i++ {
		e.sleep(r, e.gap)
		if left := time.Until(e.silentUntil()); left > 0 {
			e.sleep(r, left)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d by %s software %s\n\n", i, i, e.id, e.version)
		_ = http.NewResponseController(w).Flush()
	}
}

// silentUntil returns until when the engine is silent; zero if it is not.
func (e *engine) silentUntil() (end time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.silentAt.IsZero() && time.Now().After(e.silentAt) {
		end = e.silentAt.Add(e.silence)
	}
	return end
}

// sleep waits while the engine works. The request ends if the engine crashes or its channel is closed.
func (e *engine) sleep(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.stopped:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// versionsOf returns the software versions that wrote the events of a stream, in order and without repeats.
func versionsOf(events []string) []string {
	var out []string
	for _, e := range events {
		_, v, _ := strings.Cut(e, " software ")
		v = strings.TrimSpace(v)
		if len(out) == 0 || out[len(out)-1] != v {
			out = append(out, v)
		}
	}
	return out
}
