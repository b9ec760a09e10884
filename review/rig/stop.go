package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["stop"] = stop }

// The rare model of the case. The sheet has models of pace 1 and, the slowest, 0.11, and streams of 14 events on average and 55 at most, of 5 tokens each.
const (
	slowEvents     = 30
	slowerBy       = 9 // 1 / 0.11
	tokensPerEvent = 5
	quickStreams   = 120 // before the stop, some 22 s
)

// stop: a machine is stopped as planned. While consumers still have its address, some ask it for a rarely used model, which is slower than the
// others of the route.
func stop(r *rig, trouble bool) []string {
	r.site = vanua
	config := r.streamConfig(1)
	route := config["routes"].([]any)[0].(map[string]any)
	route["resumable"], route["attempts"] = false, 1
	spec := config["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)
	spec["models"] = append(spec["models"].([]any), map[string]any{"name": otherModel(0), "weights_mb": 72700, "load_s": 6, "adapters": 0, "adapter_size_mb": 12, "warm_s": 0.4, "disk_s": 0.52})
	r.store.put("config", "main", config)
	for i := range 3 {
		r.startEngine(&engine{id: fmt.Sprintf("i-quick%d", i), service: "huvo11a", version: "v1", zone: r.site.zones[i], models: []string{"daka510000"}, slots: 24, events: r.site.events, gap: r.site.gap, loadTime: 500 * time.Millisecond})
	}
	r.startEngine(&engine{id: "i-slow", service: "huvo11a", version: "v1", zone: r.site.zones[0], models: []string{otherModel(0)}, slots: 24, events: slowEvents, gap: slowerBy * r.site.gap, loadTime: 500 * time.Millisecond})
	r.startHosts(r.site.hosts)
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost, refused, whole, other := 0, 0, 0, 0
	var stopped time.Time
	send := func(h *host, model string) {
		events := r.site.events
		if model != "daka510000" {
			events = slowEvents
		}
		wg.Go(func() {
			id := newAttempt()
			sent := time.Now()
			a := r.send(h, try{id: id, method: "POST", path: "/lohu930/2f", key: "k-hule", model: model, deadline: r.site.budget, body: "question " + id,
				header: map[string]string{"Buckthornseam-Token-Count": fmt.Sprintf("646,%d", tokensPerEvent*events)}})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case len(a.events) == events && a.complete:
				whole++
			case a.status == 503:
				refused++
			case len(a.events) > 0 && !stopped.IsZero() && h == r.hosts[0] && sent.Sub(stopped) > 3*time.Second:
				lost++
				r.note("LOST: %s, sent %.1f s after SIGTERM, ends %.1f s after it with %d of %d events", id, sent.Sub(stopped).Seconds(), time.Since(stopped).Seconds(), len(a.events), events)
			default:
				other++
			}
		})
	}
	for range quickStreams {
		send(r.hosts[attempts.Load()%int64(len(r.hosts))], "daka510000")
		time.Sleep(r.site.every)
	}
	x := r.hosts[0]
	r.note("machine %s gets SIGTERM", x.name)
	if trouble {
		x.signal(syscall.SIGTERM)
		mu.Lock()
		stopped = time.Now()
		mu.Unlock()
		go func() {
			exited := time.Now()
			_ = x.cmd.Wait()
			r.note("machine %s has stopped after %.1f s", x.name, time.Since(exited).Seconds())
			time.Sleep(500 * time.Millisecond)
			x.writeSettings(false)
			x.start()
		}()
	}
	began := time.Now()
	// Some consumers keep an answer of the directory for three times its ttl_s of 2, so that they still use the machine.
	for n := 0; time.Since(began) < 6*time.Second; n++ {
		send(r.hosts[attempts.Load()%int64(len(r.hosts))], "daka510000")
		if at := time.Since(began); n%2 == 0 && at > 3100*time.Millisecond && at < 5500*time.Millisecond {
			send(x, otherModel(0))
		}
		time.Sleep(r.site.every)
	}
	wg.Wait()
	summary := fmt.Sprintf("%d streams whole, %d refused, %d cut off that were sent later than 3 s after SIGTERM, %d else", whole, refused, lost, other)
	r.note("%s", summary)
	fmt.Println(summary)
	if whole < quickStreams {
		cannotRun("only %d streams are whole", whole)
	}
	if lost > 0 {
		return []string{fmt.Sprintf("LOST: %d streams that a stopping machine had read and passed on are cut off by its stop", lost)}
	}
	return nil
}
