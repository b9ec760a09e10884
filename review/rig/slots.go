package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { scenarios["slots"] = slots }

// Figures of the case, as on the sheet of Desrochers but for the number of models in use.
const (
	slotEngines  = 18
	slotModels   = 9 // each at two engines
	adapterCount = 30
	adapterSlots = 8
	faqEvents    = 73                    // of a stream of client-faq
	faqGap       = 45 * time.Millisecond // an engine that runs a batch: "a step takes 5.47 ms and more", four tokens an event
	lateShare    = 0.5
	lateFor      = 5 * time.Second
)

// slots: requests ask for adapters, more than the engines hold at once. Then, for some seconds, the engines leave a share of the orders unanswered and
// carry them out late, while fewer streams come. Both happens twice.
func slots(r *rig, trouble bool) (broken []string) {
	r.site = desr
	config := r.streamConfig(1)
	service := config["services"].([]any)[0].(map[string]any)
	spec := service["engine"].(map[string]any)
	spec["weights_mb"], spec["adapter_slots"], spec["kv_capacity"], spec["loads_per_s"] = 200_000, adapterSlots, 232_000, 3.1
	var offered []any
	for i := range slotModels {
		offered = append(offered, map[string]any{"name": otherModel(i), "weights_mb": 72_700, "load_s": 6, "adapters": adapterCount, "adapter_size_mb": 66, "warm_s": 0.4, "disk_s": 0.84})
	}
	spec["models"] = offered
	r.store.put("config", "main", config)
	var mu sync.Mutex
	var over []string
	var engines []*engine
	for i := range slotEngines {
		engines = append(engines, r.startEngine(&engine{id: fmt.Sprintf("i-run%02d", i), service: "huvo11a", version: "v1", zone: r.site.zones[i%3], models: []string{otherModel(i % slotModels)}, slots: 64, events: faqEvents, gap: faqGap,
			loadTime: 840 * time.Millisecond, slotsFor: adapterSlots, onLimit: func(e *engine, key string) {
				mu.Lock()
				over = append(over, e.id+" by "+key)
				mu.Unlock()
				r.note("LIMIT: engine %s is ordered to load %s beyond its %d places", e.id, key, adapterSlots)
				e.crash()
			}}))
		go engines[i].heartbeats()
	}
	r.startHosts(r.site.hosts)
	whole, cut, refused, other := 0, 0, 0, 0
	var wg sync.WaitGroup
	traffic := func(d, every time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(every/2 + rand.N(every)) {
			wg.Go(func() {
				id := newAttempt()
				model := fmt.Sprintf("%s/a%d", otherModel(rand.IntN(slotModels)), 1+rand.IntN(adapterCount))
				a := r.send(r.hosts[rand.IntN(len(r.hosts))], try{id: id, method: "POST", path: "/lohu930/2f", key: "k-hule", model: model, deadline: r.site.budget, body: "question " + id})
				mu.Lock()
				defer mu.Unlock()
				switch {
				case len(a.events) == faqEvents && a.complete:
					whole++
				case len(a.events) > 0:
					cut++
				case a.status == 503:
					refused++
				default:
					other++
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	for _, before := range []time.Duration{32 * time.Second, 20 * time.Second} {
		traffic(before, r.site.every)
		r.note("from now on, for %v, orders are left unanswered: %v", lateFor, trouble)
		if trouble {
			for _, e := range engines {
				e.mu.Lock()
				e.late = lateWindow{time.Now(), time.Now().Add(lateFor), lateShare}
				e.mu.Unlock()
			}
		}
		traffic(lateFor, 2*r.site.every)
		traffic(13*time.Second, 6*r.site.every)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	summary := fmt.Sprintf("orders to load more adapters than an engine has places for: %v; streams: %d whole, %d cut off, %d refused, %d else", over, whole, cut, refused, other)
	r.note("%s", summary)
	fmt.Println(summary)
	if whole < 200 {
		cannotRun("only %d streams are whole", whole)
	}
	if len(over) > 0 {
		broken = append(broken, fmt.Sprintf("LIMIT: engines are ordered %d times to load more than adapter_slots hold", len(over)))
	}
	return broken
}
