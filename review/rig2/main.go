package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"
)

// verdict is what a case found.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(w *world, trouble bool) verdict{
	"forgotten":  forgotten,
	"longprompt": longPrompt,
	"innocent":   innocent,
	"withdrawn":  withdrawn,
	"restart":    restart,
}

func main() {
	code := 2
	defer func() { os.Exit(code) }()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig2 CASE RECORD")
		return
	}
	trouble := os.Getenv("TROUBLE") != "0"
	var w *world
	defer func() {
		if r := recover(); r != nil {
			fmt.Println("the case couldn't run:", r)
			code = 2
		}
		if w != nil {
			w.end()
		}
	}()
	w = newWorld(os.Args[2])
	w.logf("case %s, disruption %v", os.Args[1], trouble)
	v := cases[os.Args[1]](w, trouble)
	w.logf("%s", v.text)
	fmt.Println(v.text)
	code = 0
	if v.broken {
		code = 1
	}
}

const key = "i9n73hh2b9wu3fexd9dn"

// config is the operator's configuration: a plain service and, if there are models, a service of engines.
func config(models ...string) map[string]any {
	routes := []any{
		map[string]any{"name": "r-slot", "host": "wuny96.example", "path_prefix": "/cuti104/", "type": "idempotent", "timeout_ms": 3000, "goal_ms": 300, "priority": 2, "service": "app", "attempts": 2, "public": false, "sticky": false, "resumable": false},
		map[string]any{"name": "r-pay", "host": "wuny96.example", "path_prefix": "/rapu33/", "type": "non_idempotent", "timeout_ms": 3000, "goal_ms": 300, "priority": 2, "service": "app", "attempts": 1, "public": false, "sticky": false, "resumable": false},
	}
	services := []any{map[string]any{"name": "app", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false}}
	if len(models) > 0 {
		routes = append(routes, map[string]any{"name": "r-draft", "host": "wuny96.example", "path_prefix": "/lohu930/", "type": "streaming", "timeout_ms": 5000, "goal_ms": 400, "priority": 0, "service": "llm", "attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_goal_ms": 400})
		list := []any{}
		for _, m := range models {
			list = append(list, map[string]any{"name": m, "weights_mb": 65100, "load_s": 6.0, "adapters": 0, "adapter_size_mb": 12.0, "warm_s": 0.6, "disk_s": 0.78})
		}
		services = append(services, map[string]any{"name": "llm", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 24, "kv_capacity": 208937, "weights_mb": 200000.0, "adapter_slots": 8, "loads_per_s": 6.5, "models": list}})
	}
	return map[string]any{"version": 7, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1, "unit": "token_rate", "plain_tokens": 200, "rate_per_s": 300000, "burst": 300000}}}
}

var zones = []string{"suva", "lautoka", "nadi"}

// deploy starts the store, the engines and one machine in each zone.
func (w *world) deploy(conf map[string]any, engines ...*engine) {
	w.store.put("config", "main", conf)
	w.engines = engines
	for _, e := range engines {
		e.start()
	}
	for i, z := range zones {
		w.startHost(w.addHost(i+1, z, w.store.addr))
		time.Sleep(ms(140)) // all machines start within 0.3 s
	}
	if !w.awaitReady() {
		panic("the machines did not become ready")
	}
	time.Sleep(3 * time.Second)
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// repeat calls f about every period until the time end.
func repeat(end time.Time, period time.Duration, f func()) {
	time.Sleep(time.Duration(rand.Float64() * float64(period)))
	for time.Now().Before(end) {
		next := time.Now().Add(period)
		f()
		time.Sleep(time.Until(next))
	}
}

// crashing returns the work of servers at which one request, named poison, crashes each that begins to run it.
func crashing(trouble bool) func(e *engine, r *http.Request, body []byte) (time.Duration, outcome) {
	return func(e *engine, r *http.Request, body []byte) (time.Duration, outcome) {
		if trouble && tagOf(body) == "poison" {
			return ms(40 + rand.IntN(40)), crashes
		}
		return ms(40 + rand.IntN(40)), good
	}
}

// servers returns five servers of the plain service, which are back two seconds after a crash.
func (w *world) servers(work func(e *engine, r *http.Request, body []byte) (time.Duration, outcome)) []*engine {
	var engines []*engine
	for i := range 5 {
		engines = append(engines, &engine{w: w, name: fmt.Sprint("app", i), service: "app", zone: zones[i%3], ip: w.prefix + fmt.Sprint(100+i), slots: 6, restartS: 2, work: work})
	}
	return engines
}

// consumers makes n consumers send the same request once a second until the time end. In each second, they send one after the other within
// the time spread.
func (w *world) consumers(n int, spread time.Duration, end time.Time, done chan bool, q request) int {
	for i := range n {
		go func() {
			time.Sleep(time.Duration(i) * spread / time.Duration(n))
			for time.Now().Before(end) {
				next := time.Now().Add(time.Second)
				w.send(w.hosts[rand.IntN(len(w.hosts))], q)
				time.Sleep(time.Until(next))
			}
			done <- true
		}()
	}
	return n
}

var (
	poison = request{method: "POST", path: "/cuti104/lo20/record", tag: "poison", key: key, deadline: 3 * time.Second}
	sound  = request{method: "POST", path: "/rapu33/pay", tag: "sound", key: key, deadline: 3 * time.Second}
)

// crashVerdict checks the rule on requests that crash engines.
func (w *world) crashVerdict() verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	reached, lost := 0, 0
	if len(w.crashed) >= 3 {
		for _, a := range w.arrivals {
			if a.Tag == poison.tag && a.At.After(w.crashed[2].Add(3*time.Second)) {
				reached++
			}
		}
	}
	for _, a := range w.answers {
		if strings.HasPrefix(a.Tag, sound.tag) && a.Status != 200 && a.Status != 503 && a.Status != 429 {
			lost++
		}
	}
	return verdict{reached > 3, fmt.Sprintf("BUDGET: %d times an engine crashed; later than contact_ms (3 s) after the third crash, the request reached engines %d times (3 are allowed); %d requests of others, which may run once, ended with 502, 504 or without an answer", len(w.crashed), reached, lost)}
}

// sounds makes eight consumers send requests that may run once, no two alike.
func (w *world) sounds(end time.Time, done chan bool) int {
	for i := range 8 {
		go func() {
			n := 0
			repeat(end, 250*time.Millisecond, func() {
				q := sound
				n++
				q.tag = fmt.Sprintf("sound-%d-%d", i, n)
				w.send(w.hosts[rand.IntN(len(w.hosts))], q)
			})
			done <- true
		}()
	}
	return 8
}

// forgotten: three consumers of one tenant ask for the same record once a second. With trouble, this request crashes each engine that
// begins to run it.
func forgotten(w *world, trouble bool) verdict {
	w.deploy(config(), w.servers(crashing(trouble))...)
	end := time.Now().Add(75 * time.Second)
	done := make(chan bool, 100)
	n := w.sounds(end, done) + w.consumers(3, time.Second, end, done, poison)
	for range n {
		<-done
	}
	return w.crashVerdict()
}

// restart: four consumers of one tenant ask for the same record once a second, for 8 s. With trouble, this request crashes each engine that
// begins to run it, and the process on the machine that started first is killed then. It starts again after a second. 5 s after it is ready,
// the request comes again.
func restart(w *world, trouble bool) verdict {
	w.deploy(config(), w.servers(crashing(trouble))...)
	done := make(chan bool, 100)
	n := w.sounds(time.Now().Add(40*time.Second), done)
	for range w.consumers(4, time.Second, time.Now().Add(8*time.Second), done, poison) {
		<-done
	}
	if trouble {
		h := w.hosts[0]
		h.cmd.Process.Kill()
		w.logf("machine %s: its process is killed", h.name)
		<-h.done
		time.Sleep(time.Second)
		w.startHost(h)
		if !w.awaitReady() {
			panic("the machine did not become ready again")
		}
	}
	time.Sleep(5 * time.Second)
	n += w.consumers(12, time.Second, time.Now().Add(15*time.Second), done, poison)
	for range n {
		<-done
	}
	return w.crashVerdict()
}

func envInt(name string, def int) int {
	if v := os.Getenv(name); v != "" {
		fmt.Sscan(v, &def)
	}
	return def
}

// longPrompt: prompts hold a common part, some documents of a pool of 60, and a part of their own. One further document crashes each
// engine that begins to write an answer on it; it comes after the others. DOCUMENTS is how many come before it.
func longPrompt(w *world, trouble bool) verdict {
	const bad = "bad0bad0"
	documents := envInt("DOCUMENTS", 18)
	work := func(e *engine, r *http.Request, body []byte) (time.Duration, outcome) {
		if trouble && strings.Contains(r.Header.Get("Buckthornseam-Prompt-Prefix"), bad) {
			return ms(60 + rand.IntN(60)), crashes
		}
		return ms(40 + rand.IntN(40)), good
	}
	var engines []*engine
	for i := range 9 {
		engines = append(engines, &engine{w: w, name: fmt.Sprint("llm", i), service: "llm", zone: zones[i%3], ip: w.prefix + fmt.Sprint(100+i), slots: 64, restartS: 2, work: work, models: []string{"daka51"}})
	}
	for i := range 3 {
		engines = append(engines, &engine{w: w, name: fmt.Sprint("app", i), service: "app", zone: zones[i%3], ip: w.prefix + fmt.Sprint(150+i), slots: 6, restartS: 2, work: work})
	}
	w.deploy(config("daka51"), engines...)
	end := time.Now().Add(40 * time.Second)
	done := make(chan bool, 200)
	consumers, n := 0, 0
	run := func(tag string) {
		consumers++
		go func() {
			repeat(end, time.Second, func() {
				w.mu.Lock()
				n++
				k := n
				w.mu.Unlock()
				h := w.hosts[rand.IntN(len(w.hosts))]
				if tag == "pay" {
					w.send(h, request{method: "POST", path: "/rapu33/pay", tag: fmt.Sprint(tag, k), key: key, deadline: 3 * time.Second})
					return
				}
				parts := []string{"5c1e07a2:155"}
				for _, d := range rand.Perm(60)[:documents] {
					parts = append(parts, fmt.Sprintf("%08x:40", 0x91bd0000+d))
				}
				if tag == "bad" {
					parts = append(parts, bad+":40")
				}
				parts = append(parts, fmt.Sprintf("%08x:91", k))
				w.send(h, request{method: "POST", path: "/lohu930/x", tag: fmt.Sprint(tag, k), key: key, deadline: 5 * time.Second, header: map[string]string{
					"Buckthornseam-Model": "daka51", "Buckthornseam-Token-Count": fmt.Sprintf("%d,50", 250+40*documents), "Buckthornseam-Prompt-Prefix": strings.Join(parts, ",")}})
			})
			done <- true
		}()
	}
	for range 2 {
		run("bad")
	}
	for range 20 {
		run("sound")
	}
	for range 10 {
		run("pay")
	}
	for range consumers {
		<-done
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	reached, served, sound := 0, 0, 0
	if len(w.crashed) >= 5 {
		for _, a := range w.arrivals {
			if strings.HasPrefix(a.Tag, "bad") && a.At.After(w.crashed[4].Add(3*time.Second)) {
				reached++
			}
		}
	}
	for _, a := range w.answers {
		if strings.HasPrefix(a.Tag, "sound") {
			sound++
			if a.Status == 200 && a.Whole {
				served++
			}
		}
	}
	return verdict{reached > 3, fmt.Sprintf("BUDGET: %d documents before the last; %d engines crashed; later than contact_ms (3 s) after the fifth crash, requests with the part reached engines %d times (3 are allowed); of %d sound requests %d were served", documents, len(w.crashed), reached, sound, served)}
}

// innocent: eight prompts are asked again and again, each by eight consumers about once a second. From 10 s on, prompts with one further
// part come twice a second. With trouble, that part crashes each engine that begins to write an answer on it.
func innocent(w *world, trouble bool) verdict {
	const bad = "bad0bad0"
	eventGap = ms(40)
	work := func(e *engine, r *http.Request, body []byte) (time.Duration, outcome) {
		if trouble && strings.Contains(r.Header.Get("Buckthornseam-Prompt-Prefix"), bad) {
			return ms(60 + rand.IntN(60)), crashes
		}
		return ms(40 + rand.IntN(40)), good
	}
	var engines []*engine
	for i := range 9 {
		engines = append(engines, &engine{w: w, name: fmt.Sprint("llm", i), service: "llm", zone: zones[i%3], ip: w.prefix + fmt.Sprint(100+i), slots: 24, restartS: 2, work: work, models: []string{"daka51"}})
	}
	for i := range 3 {
		engines = append(engines, &engine{w: w, name: fmt.Sprint("app", i), service: "app", zone: zones[i%3], ip: w.prefix + fmt.Sprint(150+i), slots: 6, restartS: 2, work: work})
	}
	w.deploy(config("daka51"), engines...)
	began := time.Now()
	end := began.Add(45 * time.Second)
	done := make(chan bool, 200)
	n := 0
	ask := func(tag string, parts ...string) {
		w.send(w.hosts[rand.IntN(len(w.hosts))], request{method: "POST", path: "/lohu930/x", tag: tag, key: key, deadline: 5 * time.Second, header: map[string]string{
			"Buckthornseam-Model": "daka51", "Buckthornseam-Token-Count": "646,70", "Buckthornseam-Prompt-Prefix": strings.Join(parts, ",")}})
	}
	prompts := envInt("PROMPTS", 8)
	for i := range prompts {
		for range 64 / prompts {
			n++
			go func() {
				repeat(end, time.Second, func() {
					ask(fmt.Sprint("sound-", i), "5c1e07a2:155", fmt.Sprintf("%08x:62", 0x91bd0000+i), fmt.Sprintf("%08x:429", 0xe4400000+i))
				})
				done <- true
			}()
		}
	}
	for i := range 2 {
		n++
		go func() {
			time.Sleep(10 * time.Second)
			k := 0
			repeat(end, time.Second, func() {
				k++
				ask(fmt.Sprintf("bad-%d-%d", i, k), "5c1e07a2:155", bad+":62", fmt.Sprintf("%08x:429", 0xe5500000+1000*i+k))
			})
			done <- true
		}()
	}
	for range 5 {
		n++
		go func() {
			repeat(end, 500*time.Millisecond, func() { w.send(w.hosts[rand.IntN(len(w.hosts))], sound) })
			done <- true
		}()
	}
	for range n {
		<-done
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !trouble || len(w.crashed) < 5 {
		w.crashed = append(w.crashed, make([]time.Time, 5)...)
		for i := range 5 {
			w.crashed[i] = began.Add(13 * time.Second)
		}
	}
	from := w.crashed[4].Add(6 * time.Second)
	var before, after, begunBefore, begunAfter int
	reasons := map[int]int{}
	for _, a := range w.answers {
		if !strings.HasPrefix(a.Tag, "sound-") {
			continue
		}
		switch {
		case a.Sent.Before(began.Add(10 * time.Second)):
			before++
			if a.Status == 200 {
				begunBefore++
			}
		case a.Sent.After(from):
			after++
			reasons[a.Status]++
			if a.Status == 200 {
				begunAfter++
			}
		}
	}
	if before < 20 || after < 20 {
		panic("too few sound requests")
	}
	share := func(n, of int) float64 { return float64(n) / float64(of) }
	return verdict{share(begunAfter, after) < share(begunBefore, before)/2, fmt.Sprintf("LOST: before the part came, %d of %d sound requests began; from 2 x contact_ms after the fifth crash on, %d of %d (less than half as often is not allowed); by status %v", begunBefore, before, begunAfter, after, reasons)}
}

// withdrawnKey is a second key of the tenant.
const withdrawnKey = "n2ctnfzs989anu6wsjnb"

// withdrawn: consumers use a key that the operator has withdrawn. With trouble, the store is restored 6 s later, from a copy that was made
// just before that, and the operator writes the configuration again after 3 s. In between, one process is killed and starts again.
func withdrawn(w *world, trouble bool) verdict {
	var servers []*engine
	for i := range 3 {
		servers = append(servers, &engine{w: w, name: fmt.Sprint("app", i), service: "app", zone: zones[i], ip: w.prefix + fmt.Sprint(100+i), slots: 24, restartS: 2, work: crashing(false)})
	}
	first, second := config(), config()
	first["tenants"].([]any)[0].(map[string]any)["api_keys"] = []string{key, withdrawnKey}
	second["version"] = 9
	w.deploy(first, servers...)
	end := time.Now().Add(20 * time.Second)
	done := make(chan bool, 100)
	n := 0
	for i := range 30 {
		n++
		go func() {
			q := request{method: "POST", path: "/cuti104/lo20/", tag: "withdrawn", key: withdrawnKey, deadline: 3 * time.Second}
			if i%3 == 0 {
				q.tag, q.key = "held", key
			}
			repeat(end, ms(60), func() { w.send(w.hosts[rand.IntN(len(w.hosts))], q) })
			done <- true
		}()
	}
	time.Sleep(2 * time.Second)
	c := w.store.copy()
	w.store.put("config", "main", second)
	acknowledged := time.Now()
	w.logf("version 9 of the configuration is acknowledged; it holds the withdrawn key no more")
	time.Sleep(6 * time.Second)
	if trouble {
		w.store.restore(c)
		restored := time.Now()
		w.logf("the store is back from a copy")
		time.Sleep(500 * time.Millisecond)
		h := w.hosts[0]
		h.cmd.Process.Kill()
		<-h.done
		w.logf("machine %s: its process is killed", h.name)
		time.Sleep(500 * time.Millisecond)
		w.startHost(h)
		time.Sleep(time.Until(restored.Add(3 * time.Second)))
		w.store.put("config", "main", second)
		w.logf("the operator has written version 9 again")
	}
	for range n {
		<-done
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	sent := map[string]time.Time{}
	for _, a := range w.answers {
		sent[a.Attempt] = a.Sent
	}
	ran, served := 0, 0
	for _, a := range w.arrivals {
		if a.Tag == "withdrawn" && a.Ran && sent[a.Attempt].After(acknowledged.Add(5*time.Second)) {
			ran++
		}
	}
	for _, a := range w.answers {
		if a.Tag == "held" && a.Status == 200 {
			served++
		}
	}
	return verdict{ran > 0, fmt.Sprintf("CONFIG: %d requests with the withdrawn key, sent later than revoke_ms (5 s) after the acknowledgement, ran (none may); %d with the other key were served", ran, served)}
}
