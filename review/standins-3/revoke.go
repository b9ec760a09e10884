//go:build ignore

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const hostName = "ficu95.example"

func config(version int, keys map[string][]string, extra int) map[string]any {
	routes := []any{
		map[string]any{"name": "r-ticket", "host": hostName, "path_prefix": "/ticket/", "type": "idempotent", "timeout_ms": 3000, "goal_ms": 300, "priority": 0, "service": "billing", "attempts": 2, "public": false, "sticky": false, "resumable": false},
		map[string]any{"name": "r-invoice", "host": hostName, "path_prefix": "/invoice/", "type": "non_idempotent", "timeout_ms": 3000, "goal_ms": 300, "priority": 0, "service": "billing", "attempts": 1, "public": false, "sticky": false, "resumable": false},
	}
	for i := range extra {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("r-extra%04d", i), "host": hostName, "path_prefix": fmt.Sprintf("/extra%04d/", i), "type": "idempotent", "timeout_ms": 3000, "goal_ms": 300, "priority": 0, "service": "billing", "attempts": 2, "public": false, "sticky": false, "resumable": false})
	}
	tenants := []any{}
	for name, k := range keys {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": k})
	}
	return map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []any{map[string]any{"name": "billing", "health_path": "/healthz", "max_conns": 500, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	}
}

// sent is a request that a consumer has sent.
type sent struct {
	key string
	at  time.Time
}

// consumers send requests with a key to a host, each one after the other, until ctx ends.
type consumers struct {
	mu  sync.Mutex
	all map[string]sent
}

func (c *consumers) run(ctx context.Context, front, key, path string, every time.Duration) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}
	client := &http.Client{Transport: transport}
	for ctx.Err() == nil {
		id, at := newID(), time.Now()
		c.mu.Lock()
		c.all[id] = sent{key, at}
		c.mu.Unlock()
		reqCtx, cancel := context.WithTimeout(ctx, time.Second)
		req, err := http.NewRequestWithContext(reqCtx, http.MethodGet, "http://"+front+path, nil)
		must(err)
		req.Host = hostName
		req.Header.Set("Buckthornseam-Attempt-Id", id)
		req.Header.Set("Buckthornseam-Deadline-Ms", "3000")
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := client.Do(req)
		pause := rand.N(2 * every)
		if err != nil {
			note("consumer of %s: %s gets no answer: %v", key, id, err)
			transport.CloseIdleConnections()
		} else {
			resp.Body.Close()
			note("consumer of %s: %s gets %d", key, id, resp.StatusCode)
			if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
				pause = max(pause, time.Duration(s*float64(time.Second)))
			}
		}
		cancel()
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// keysOf names the key that is taken away in a round.
func keyOf(round int) string { return fmt.Sprintf("takentakentaken%05d", round) }

// Times of a round.
const (
	rounds      = 9
	beforeFreez = 1200 * time.Millisecond
	freezeTime  = 7800 * time.Millisecond // the longest freeze in the site file is one of 7.9 s
	afterFreeze = 1200 * time.Millisecond
	revokeTime  = 5 * time.Second // revoke_ms
)

// caseRevoke takes a key away while one of three machines is frozen, in each round another key and another machine.
func caseRevoke(trouble bool) bool {
	s := newStore()
	keys := []string{"keptkeptkeptkept00000"}
	for round := range rounds {
		keys = append(keys, keyOf(round))
	}
	version := 7
	write := func() time.Time {
		version += 2
		return s.Write("config", "main", config(version, map[string][]string{"hule930": keys, "vani411": {"otherotherother00003"}}, extraRoutes))
	}
	write()
	e1 := newEngine(s, "i-0001", "billing", "aqaba-a", 15*time.Millisecond)
	e2 := newEngine(s, "i-0002", "billing", "maan-b", 15*time.Millisecond)
	door := s.door(network + ".100")
	for i, zone := range []string{"aqaba-a", "maan-b", "karak-c"} {
		newHost(i+1, zone, door.Address, true)
	}
	awaitReady(20 * time.Second)
	time.Sleep(2 * time.Second)
	c := &consumers{all: map[string]sent{}}
	taken := map[string]time.Time{}
	for round := range rounds {
		h, key := hosts[round%len(hosts)], keyOf(round)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		for range consumersOfKey {
			group.Go(func() {
				time.Sleep(rand.N(time.Second))
				c.run(ctx, h.Front, key, "/ticket/2f", 300*time.Millisecond)
			})
		}
		time.Sleep(beforeFreez)
		if trouble {
			h.signal(syscall.SIGSTOP)
			note("%s is frozen", h.Name)
		}
		began := time.Now()
		time.Sleep(100 * time.Millisecond)
		keys = append(keys[:1:1], keys[2:]...)
		taken[key] = write()
		note("the store has acknowledged the configuration that takes the key %s away", key)
		time.Sleep(time.Until(began.Add(freezeTime)))
		if trouble {
			h.signal(syscall.SIGCONT)
			note("%s goes on", h.Name)
		}
		time.Sleep(afterFreeze)
		cancel()
		group.Wait()
	}
	broken := map[string]int{}
	for _, e := range []*Engine{e1, e2} {
		for _, run := range e.runs() {
			q := c.all[run.ID]
			if late := q.at.Sub(taken[q.key]); late > revokeTime {
				broken[q.key]++
				note("BROKEN: %s was sent %.3f s after the acknowledgement of the configuration that took its key away, and runs", run.ID, late.Seconds())
			}
		}
	}
	fmt.Println("runs of requests with a key that was taken away more than 5 s before they were sent, by key:", broken)
	return len(broken) == 0
}

// Sizes of the deployment.
const (
	extraRoutes    = 350 // as big_config adds
	consumersOfKey = 40  // as many as the site has
)
