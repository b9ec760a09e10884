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

// arrival is a request that reached an engine.
type arrival struct {
	At      time.Time
	Engine  string
	Attempt string
	Tag     string // names the request over all its attempts
	Ran     bool
}

// engine is a stand-in for an engine or a server of a plain service. Its process can crash: then all its channels are reset, and it
// starts again, under a new id, at the same address.
type engine struct {
	w        *world
	name     string // stays over restarts
	service  string
	zone     string
	ip       string
	models   []string
	slots    int
	restartS float64
	// Work returns how long a request takes until its first byte and whether the engine crashes then.
	work func(e *engine, r *http.Request, body []byte) (time.Duration, outcome)

	mu      sync.Mutex
	id      string
	boot    int
	addr    string
	up      bool
	conns   map[net.Conn]bool
	server  *http.Server
	seq     int64
	running int
	held    map[string]bool // models that are loaded
	loading string
	stop    chan struct{}
	crashes int
}

type outcome int

const (
	good outcome = iota
	crashes
	hangs
	fails // the engine's own 500
)

func (e *engine) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.id = fmt.Sprintf("i-%s-%d", e.name, e.boot)
	address := e.ip + ":0"
	if e.addr != "" {
		address = e.addr
	}
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	check(err)
	e.addr, e.up, e.seq, e.running, e.loading = l.Addr().String(), true, 0, 0, ""
	e.held = map[string]bool{}
	if e.boot == 1 { // an engine that starts again is empty
		for _, m := range e.models {
			e.held[m] = true
		}
	}
	conns := map[net.Conn]bool{}
	e.conns = conns
	boot := &engineBoot{e, e.id}
	e.server = &http.Server{Handler: boot, ConnState: func(c net.Conn, st http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if st == http.StateNew {
			conns[c] = true
		} else if st == http.StateClosed {
			delete(conns, c)
		}
	}}
	go e.server.Serve(l)
	e.stop = make(chan struct{})
	go e.heartbeat(e.id, time.Now().UnixMilli(), e.stop)
}

// heartbeat keeps the entry of one boot.
func (e *engine) heartbeat(id string, born int64, stop chan struct{}) {
	for {
		spec := map[string]any{"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready", "cold_left_ms": 0, "seq": 0, "born": born}
		if len(e.models) > 0 {
			spec["stage"], spec["models"], spec["available"] = "mixed", e.modelList(id), map[string]any{"in_memory": e.models, "on_disk": e.models}
		}
		e.w.store.put("servers", id, spec)
		select {
		case <-time.After(1200 * time.Millisecond):
		case <-stop:
			// Silence: the entry goes after three check-ins.
			time.Sleep(3600 * time.Millisecond)
			e.w.store.remove("servers", id)
			return
		}
	}
}

// crash ends the process of the engine; it is back after restartS.
func (e *engine) crash(id string) {
	e.mu.Lock()
	if !e.up || e.id != id {
		e.mu.Unlock()
		return
	}
	e.up = false
	e.crashes++
	var conns []net.Conn
	for c := range e.conns {
		conns = append(conns, c)
	}
	server := e.server
	close(e.stop)
	e.mu.Unlock()
	e.w.logf("engine %s crashes", id)
	e.w.noteCrash()
	for _, c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
	server.Close()
	time.AfterFunc(time.Duration(e.restartS*float64(time.Second)), e.start)
}

type engineBoot struct {
	*engine
	id string
}

func (b *engineBoot) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := b.engine
	if want := r.Header.Get("Buckthornseam-Expect-Instance"); want != "" && want != b.id {
		w.Header().Set("Buckthornseam-Instance-Id", b.id)
		w.WriteHeader(421)
		return
	}
	switch r.URL.Path {
	case "/report":
		models := e.modelList(b.id)
		e.mu.Lock()
		running, seq, busy := e.running, e.seq, e.loading != ""
		e.mu.Unlock()
		reply(w, 200, map[string]any{"stage": "mixed", "models": models, "busy": busy, "seq": seq, "waiting": 0, "running": running, "kv_used": 1000, "kv_total": 200000, "handles": 0})
		return
	case "/order":
		b.order(w, r)
		return
	case "/healthz":
		w.Header().Set("Buckthornseam-Instance-Id", b.id)
		w.WriteHeader(200)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	attempt := r.Header.Get("Buckthornseam-Attempt-Id")
	e.mu.Lock()
	full := e.running >= e.slots
	model := r.Header.Get("Buckthornseam-Model")
	missing := model != "" && !e.held[model]
	full = full || missing
	if !full {
		e.running++
	}
	e.mu.Unlock()
	e.w.arrived(arrival{time.Now(), b.id, attempt, tagOf(body), !full})
	if full {
		w.Header().Set("Buckthornseam-Not-Executed", "1")
		w.Header().Set("Buckthornseam-Attempt-Id", attempt)
		w.WriteHeader(map[bool]int{true: 421, false: 503}[missing])
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	d, out := e.work(e, r, body)
	select {
	case <-time.After(d):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	switch out {
	case crashes:
		e.crash(b.id)
		panic(http.ErrAbortHandler)
	case hangs:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Buckthornseam-Attempt-Id", attempt)
	h.Set("Buckthornseam-Server-Stamp", "stamp."+b.id)
	if out == fails {
		w.WriteHeader(500)
		return
	}
	if len(e.models) == 0 {
		reply(w, 200, map[string]any{"attempt": attempt, "engine": b.id})
		return
	}
	h.Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		http.NewResponseController(w).Flush()
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// events is the number of events of a stream.
const events = 14

// eventGap is the time between two of them.
var eventGap = 20 * time.Millisecond

// tagOf returns the first word of a body, by which the clients name a request over all its attempts.
func tagOf(body []byte) string {
	tag, _, _ := strings.Cut(string(body), " ")
	return tag
}

// modelList returns the models that a boot of the engine holds.
func (e *engine) modelList(id string) []any {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []any{}
	for _, m := range e.models {
		if e.id == id && e.held[m] {
			out = append(out, map[string]any{"name": m, "version": 1, "adapters": []string{}})
		}
	}
	return out
}

// order carries out one order at a time. All weights are on the engine's disk.
func (b *engineBoot) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation    string `json:"operation"`
		Model        string `json:"model"`
		Precondition *int64 `json:"precondition"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(400)
		return
	}
	e := b.engine
	e.w.logf("engine %s gets the order %s %s", b.id, o.Operation, o.Model)
	e.mu.Lock()
	defer e.mu.Unlock()
	load := o.Operation == "load"
	switch {
	case e.held[o.Model] == load:
		w.WriteHeader(200)
	case e.loading != "" || o.Precondition != nil && *o.Precondition != e.seq:
		w.WriteHeader(409)
	case !load:
		e.seq++
		delete(e.held, o.Model)
		w.WriteHeader(202)
	default:
		e.seq++
		e.loading = o.Model
		time.AfterFunc(780*time.Millisecond, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.id == b.id {
				e.held[o.Model], e.loading = true, ""
			}
		})
		w.WriteHeader(202)
	}
}
