package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["alike"] = alike }

const (
	badPart   = "bad0c0de"
	prompts   = 20 // that sound requests are drawn from
	contactMS = 3 * time.Second
)

// crashing is an engine that crashes when it begins to write an answer on badPart, and is back 3 s later under a new id.
type crashing struct {
	rig     *rig
	mu      sync.Mutex
	crashes []time.Time
	bad     []time.Time // arrivals of requests with the part
	starts  int
}

func (c *crashing) start(zone int) {
	c.mu.Lock()
	c.starts++
	name := fmt.Sprintf("i-run%d", c.starts)
	c.mu.Unlock()
	var once sync.Once
	c.rig.startEngine(&engine{id: name, service: "huvo11a", version: "v1", zone: c.rig.site.zones[zone], models: []string{"daka510000"}, slots: 64, events: c.rig.site.events, gap: c.rig.site.gap, loadTime: 400 * time.Millisecond,
		onAnswer: func(e *engine, w http.ResponseWriter, r *http.Request) bool {
			prefix := r.Header.Get("Buckthornseam-Prompt-Prefix")
			if !strings.Contains(prefix, badPart+":") {
				return false
			}
			c.mu.Lock()
			c.bad = append(c.bad, time.Now())
			c.mu.Unlock()
			time.Sleep(60 * time.Millisecond)
			once.Do(func() {
				c.mu.Lock()
				c.crashes = append(c.crashes, time.Now())
				c.mu.Unlock()
				e.crash()
				go func() {
					time.Sleep(3 * time.Second)
					c.start(zone)
				}()
			})
			panic(http.ErrAbortHandler)
		}})
}

// alike: one part of prompts crashes engines, by requests of which no two are alike. Many sound requests are alike: they ask one of a few things.
func alike(r *rig, trouble bool) (broken []string) {
	r.store.put("config", "main", r.streamConfig(1))
	c := &crashing{rig: r}
	for i := range 9 {
		c.start(i % 3)
	}
	r.startHosts(8)
	time.Sleep(4 * time.Second)
	type one struct {
		sent   time.Time
		began  bool
		status int
	}
	var mu sync.Mutex
	var sound []one
	var wg sync.WaitGroup
	stop := make(chan struct{})
	send := func(bad bool) {
		wg.Go(func() {
			id := newAttempt()
			body := "prompt of " + id
			if !bad {
				body = fmt.Sprintf("prompt %d", rand.IntN(prompts))
			}
			prefix := "5c1e07a2:93,91bd3f06:62," + id + ":107"
			if bad {
				prefix = "5c1e07a2:93," + badPart + ":62," + id + ":107"
			}
			sent := time.Now()
			a := r.send(r.hosts[rand.IntN(len(r.hosts))], try{id: id, method: "POST", path: "/lohu930/2f", key: "k-hule", model: "daka510000", deadline: r.site.budget, body: body, header: map[string]string{"Buckthornseam-Prompt-Prefix": prefix}})
			if !bad {
				mu.Lock()
				sound = append(sound, one{sent, len(a.events) > 0, a.status})
				mu.Unlock()
			}
		})
	}
	loop := func(every time.Duration, bad bool) {
		for {
			select {
			case <-stop:
				return
			case <-time.After(every):
				send(bad)
			}
		}
	}
	go loop(20*time.Millisecond, false)
	time.Sleep(8 * time.Second)
	from := time.Now()
	if trouble {
		go loop(300*time.Millisecond, true)
	}
	time.Sleep(30 * time.Second)
	close(stop)
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	last := from
	if len(c.crashes) > 0 {
		last = c.crashes[min(4, len(c.crashes)-1)]
	}
	late := 0
	for _, at := range c.bad {
		if at.After(last.Add(contactMS)) {
			late++
		}
	}
	before, beganBefore, after, beganAfter := 0, 0, 0, 0
	for _, s := range sound {
		switch {
		case s.sent.Before(from):
			before++
			if s.began {
				beganBefore++
			}
		case s.sent.After(last.Add(2 * contactMS)):
			after++
			if s.began {
				beganAfter++
			}
		}
	}
	fmt.Printf("%d crashes, %d arrivals with the part, %d of them later than contact_ms after the fifth crash; sound: %d of %d begin before, %d of %d later than 2 x contact_ms after\n", len(c.crashes), len(c.bad), late, beganBefore, before, beganAfter, after)
	if trouble && late > 3 {
		broken = append(broken, fmt.Sprintf("BUDGET: %d requests with the part reach engines, sent later than contact_ms after the fifth crash", late))
	}
	if after >= 20 && before >= 20 && float64(beganAfter)/float64(after) < 0.5*float64(beganBefore)/float64(before) {
		broken = append(broken, fmt.Sprintf("LOST: of %d sound requests %d begin at the first attempt; before the crashes %d of %d did", after, beganAfter, beganBefore, before))
	}
	return broken
}
