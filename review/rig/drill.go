package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

func init() { scenarios["drill"] = drill }

// rewriteTime is how long after a restore what was lost is written again. The pages name two seconds for entries that the store has lost otherwise.
const rewriteTime = 2 * time.Second

// drill: a key is taken away. A machine is stopped and started again as planned, and meanwhile the store is restored from a copy of the time before.
func drill(r *rig, trouble bool) (broken []string) {
	r.store.put("config", "main", plainConfig(1, []any{oneTenant("k-hule", "k-gone")}))
	r.plainEngines(3)
	r.startHosts(6)
	time.Sleep(5 * time.Second)
	copied := r.store.copy()
	time.Sleep(time.Second)
	r.store.put("config", "main", plainConfig(2, []any{oneTenant("k-hule")}))
	acknowledged := time.Now()
	r.note("the configuration without the key is acknowledged")
	time.Sleep(2 * time.Second)
	h := r.oldest()
	r.note("machine %s is stopped as planned", h.name)
	h.signal(syscall.SIGTERM)
	_ = h.cmd.Wait()
	r.note("machine %s has stopped", h.name)
	if trouble {
		r.store.restore(copied)
		r.note("the store is restored from a copy that is %v old", time.Since(copied.at))
		go func() {
			time.Sleep(rewriteTime)
			r.store.put("config", "main", plainConfig(2, []any{oneTenant("k-hule")}))
			r.note("the operator has written the configuration again")
		}()
	}
	go func() {
		time.Sleep(500 * time.Millisecond)
		h.writeSettings(false)
		h.start()
	}()
	late := map[string]bool{}
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for range 3 {
			t := try{id: newAttempt(), method: "POST", path: "/puxa403/2f", key: "k-gone", deadline: 3 * time.Second, body: "one invoice"}
			late[t.id] = true
			go r.send(r.hosts[rand.IntN(len(r.hosts))], t)
		}
	}
	time.Sleep(time.Second)
	ran := 0
	r.mu.Lock()
	for _, run := range r.runs {
		if late[run.attempt] {
			ran++
		}
	}
	r.mu.Unlock()
	fmt.Printf("%v after the acknowledgement: %d of %d requests with the key that was taken away run\n", time.Since(acknowledged).Round(time.Second), ran, len(late))
	if ran > 0 {
		broken = append(broken, fmt.Sprintf("CONFIG: %d requests sent later than revoke_ms after the acknowledgement of a configuration that took their key away run", ran))
	}
	return broken
}

// oldest returns the machine whose entry in the store is the oldest.
func (r *rig) oldest() *host {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	out, created := r.hosts[0], uint64(0)
	for _, h := range r.hosts {
		if o := r.store.objects["seam-hosts"][h.name]; o != nil && (created == 0 || o.Metadata.Created < created) {
			out, created = h, o.Metadata.Created
		}
	}
	return out
}
