package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

func init() { scenarios["offer"] = offer }

// Figures of the case, as on the sheet of Vanua: engines of 200 GB, models of up to 72.7 GB. Two of these fit into an engine, three do not.
const (
	engineMB     = 200_000
	modelMB      = 72_700
	offerEngines = 6
	diskLoad     = 520 * time.Millisecond
)

// offerConfig offers models on a route like member-notice, whose streams may not be resumed.
func (r *rig) offerConfig(version int, models []string) map[string]any {
	config := r.streamConfig(version)
	route := config["routes"].([]any)[0].(map[string]any)
	route["resumable"], route["attempts"] = false, 1
	service := config["services"].([]any)[0].(map[string]any)
	spec := service["engine"].(map[string]any)
	service["max_conns"], spec["slots"], spec["kv_capacity"], spec["weights_mb"], spec["loads_per_s"] = 200, 24, 208937, engineMB, 6.5
	var offered []any
	for _, m := range models {
		offered = append(offered, map[string]any{"name": m, "weights_mb": modelMB, "load_s": 6, "adapters": 0, "adapter_size_mb": 12, "warm_s": 0.4, "disk_s": diskLoad.Seconds()})
	}
	spec["models"] = offered
	return config
}

// offer: each engine holds a usual model and a rare one. A configuration no longer offers some of the rare ones. Later, other models are asked
// for, which all engines have on their disks.
func offer(r *rig, trouble bool) (broken []string) {
	r.site = vanua
	usual := []string{"usual0", "usual1"}
	var rare, next []string
	for i := range offerEngines {
		rare = append(rare, fmt.Sprintf("rare%d", i))
		next = append(next, fmt.Sprintf("next%d", i))
	}
	all := slices.Concat(usual, rare, next)
	weights := map[string]int{}
	for _, m := range all {
		weights[m] = modelMB
	}
	r.store.put("config", "main", r.offerConfig(1, all))
	var mu sync.Mutex
	var over []string
	var start func(name string, zone int, holds []string)
	start = func(name string, zone int, holds []string) {
		r.startEngine(&engine{id: name, service: "huvo11a", version: "v1", zone: r.site.zones[zone], models: all, holds: holds, slots: 24, events: r.site.events, gap: r.site.gap,
			loadTime: diskLoad, weights: weights, capacity: engineMB, onLimit: func(e *engine, model string) {
				mu.Lock()
				over = append(over, fmt.Sprintf("%s by %s", e.id, model))
				n := len(over)
				mu.Unlock()
				r.note("LIMIT: engine %s is ordered to load %s beyond its %d MB", e.id, model, engineMB)
				e.crash()
				time.Sleep(3 * time.Second)
				start(fmt.Sprintf("%s-%d", name, n), zone, []string{})
			}})
	}
	for i := range offerEngines {
		start(fmt.Sprintf("i-run%d", i), i%3, []string{usual[i%2], rare[i]})
	}
	r.startHosts(r.site.hosts)
	whole, cut, refused, other := 0, 0, 0, 0
	var wg sync.WaitGroup
	send := func(model string) {
		wg.Go(func() {
			id := newAttempt()
			a := r.send(r.hosts[rand.IntN(len(r.hosts))], try{id: id, method: "POST", path: "/lohu930/2f", key: "k-hule", model: model, deadline: r.site.budget, body: "question " + id})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case len(a.events) == r.site.events && a.complete:
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
	traffic := func(d time.Duration, models []string) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			send(models[rand.IntN(len(models))])
		}
	}
	traffic(8*time.Second, usual)
	offered := all
	if trouble {
		offered = slices.Concat(usual, rare[3:], next)
	}
	r.store.put("config", "main", r.offerConfig(2, offered))
	r.note("the operator has written version 2, which offers %v", offered)
	traffic(6*time.Second, usual)
	// Every now and then somebody asks for a rarely used model.
	for _, m := range next {
		send(m)
		traffic(1500*time.Millisecond, usual)
	}
	traffic(3*time.Second, usual)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	summary := fmt.Sprintf("orders to load more than an engine holds: %v; streams: %d whole, %d cut off, %d refused, %d else", over, whole, cut, refused, other)
	r.note("%s", summary)
	fmt.Println(summary)
	if whole < 300 {
		cannotRun("only %d streams are whole", whole)
	}
	if len(over) > 0 {
		broken = append(broken, fmt.Sprintf("LIMIT: engines are ordered %d times to load more than weights_mb holds", len(over)))
	}
	return broken
}
