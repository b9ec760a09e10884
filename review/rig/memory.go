package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["memory"] = memory }

// memoryLimit is the memory_mb of the settings.
const memoryLimit = 284

// resident returns the resident memory of a daemon in MB; 0: it does not run.
func (h *host) resident() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.up {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(fields[0])
	return kb >> 10
}

// guard does what the platform does: a process that exceeds its memory is killed and started again after a short delay.
func (r *rig) guard(stop <-chan struct{}) (ends map[string]int, most int) {
	ends = map[string]int{}
	for {
		select {
		case <-stop:
			return ends, most
		case <-time.After(10 * time.Millisecond):
		}
		for _, h := range r.hosts {
			mb := h.resident()
			most = max(most, mb)
			if mb <= memoryLimit {
				continue
			}
			r.note("machine %s uses %d MB and is killed", h.name, mb)
			ends[h.name]++
			h.kill()
			go func() {
				time.Sleep(500 * time.Millisecond)
				h.writeSettings(false)
				h.start()
			}()
		}
	}
}

// memory: consumers send requests whose bodies are as large as the limits of the configuration allow.
func memory(r *rig, trouble bool) []string {
	r.store.put("config", "main", streamConfig(1))
	for i := range 6 {
		r.streamEngine(fmt.Sprintf("i-old%d", i), "v1", i%3)
	}
	r.startHosts(4)
	time.Sleep(4 * time.Second)
	size := 1300
	if trouble {
		size = 4 << 20
	}
	body := strings.Repeat("x", size)
	stop, done := make(chan struct{}), make(chan struct{})
	var ends map[string]int
	var most int
	go func() {
		ends, most = r.guard(stop)
		close(done)
	}()
	var wg sync.WaitGroup
	for range 5 * 60 {
		wg.Go(func() {
			r.send(r.hosts[rand.IntN(len(r.hosts))], try{id: newAttempt(), method: "POST", path: "/lohu930/2f", key: "k-hule", model: "daka510000", deadline: 11 * time.Second, body: body})
		})
		time.Sleep(time.Second / 60)
	}
	wg.Wait()
	close(stop)
	<-done
	fmt.Printf("most %d MB, ends %v\n", most, ends)
	if len(ends) > 1 {
		return []string{fmt.Sprintf("Fault: ends %v", ends)}
	}
	return nil
}
