package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["hush"] = hush }

// Figures of the case.
const (
	hushEvents  = 73                      // of a stream like client-faq
	hushGap     = 22 * time.Millisecond   // four tokens at 5.47 ms
	hushSilence = 1200 * time.Millisecond // "a second or so"
	hushTo      = 5500 * time.Millisecond // after the SIGTERM; consumers keep an answer of the directory for 6 s at most
	hushEvery   = 250 * time.Millisecond  // between two streams at the machine that stops, as many as it has of the 28.5 a second on the sheet
)

// hush: a machine is stopped as planned. Later than 3 s after the SIGTERM, while some consumers still have its address, sound engines fall silent for a
// second or so, and go on.
func hush(r *rig, trouble bool) []string {
	r.site = desr
	config := r.streamConfig(1)
	r.store.put("config", "main", config)
	var engines []*engine
	for i := range 6 {
		engines = append(engines, r.startEngine(&engine{id: fmt.Sprintf("i-run%d", i), service: "huvo11a", version: "v1", zone: r.site.zones[i%3], models: []string{"daka510000"}, slots: 64, events: hushEvents, gap: hushGap, loadTime: 500 * time.Millisecond, silence: hushSilence}))
	}
	r.startHosts(r.site.hosts)
	time.Sleep(3 * time.Second)
	x := r.hosts[0]
	var wg sync.WaitGroup
	var mu sync.Mutex
	var stopped time.Time
	whole, refused, lost, other := 0, 0, 0, 0
	send := func(h *host) {
		wg.Go(func() {
			id, sent := newAttempt(), time.Now()
			a := r.send(h, try{id: id, method: "POST", path: "/lohu930/2f", key: "k-hule", model: "daka510000", deadline: r.site.budget, body: "question " + id,
				header: map[string]string{"Buckthornseam-Token-Count": fmt.Sprintf("826,%d", 4*hushEvents)}})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case len(a.events) == hushEvents && a.complete:
				whole++
			case a.status == 503:
				refused++
			case len(a.events) > 0 && h == x && !stopped.IsZero() && sent.Sub(stopped) > 3*time.Second:
				lost++
				r.note("LOST: %s, sent %.1f s after SIGTERM, ends %.1f s after it with %d of %d events", id, sent.Sub(stopped).Seconds(), time.Since(stopped).Seconds(), len(a.events), hushEvents)
			default:
				other++
			}
		})
	}
	for range 160 {
		send(r.hosts[attempts.Load()%int64(len(r.hosts))])
		time.Sleep(r.site.every)
	}
	if trouble {
		x.signal(syscall.SIGTERM)
	}
	mu.Lock()
	stopped = time.Now()
	mu.Unlock()
	r.note("machine %s gets SIGTERM: %v", x.name, trouble)
	for _, e := range engines {
		e.mu.Lock()
		e.silentAt = stopped.Add(6 * time.Second)
		e.mu.Unlock()
	}
	go func() {
		for time.Since(stopped) < hushTo {
			send(x)
			time.Sleep(hushEvery)
		}
	}()
	for time.Since(stopped) < 6*time.Second {
		send(r.hosts[1+attempts.Load()%int64(len(r.hosts)-1)])
		time.Sleep(r.site.every)
	}
	wg.Wait()
	summary := fmt.Sprintf("%d streams whole, %d refused, %d cut off that were sent later than 3 s after SIGTERM, %d else", whole, refused, lost, other)
	r.note("%s", summary)
	fmt.Println(summary)
	if whole < 160 {
		cannotRun("only %d streams are whole", whole)
	}
	if lost > 0 {
		return []string{fmt.Sprintf("LOST: %d streams that a stopping machine had read and passed on are cut off by its stop, as engines were silent for %v", lost, hushSilence)}
	}
	return nil
}
