package main

import (
	"fmt"
	"time"
)

func init() { scenarios["tenant"] = tenant }

// plainConfig is a configuration with one route for requests that may run once, one for those that may be repeated, and the given tenants.
func plainConfig(version int, tenants []any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-issue", "host": callerHost, "path_prefix": "/puxa403/", "type": "non_idempotent", "timeout_ms": 1500, "goal_ms": 300, "priority": 2, "service": "wuno96b", "attempts": 1, "public": false},
			map[string]any{"name": "r-read", "host": callerHost, "path_prefix": "/cufi504/", "type": "idempotent", "timeout_ms": 1500, "goal_ms": 300, "priority": 2, "service": "wuno96b", "attempts": 2, "public": false},
		},
		"services": []any{map[string]any{"name": "wuno96b", "health_path": "/healthz", "max_conns": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  tenants,
	}
}

func oneTenant(keys ...string) map[string]any {
	return map[string]any{"name": "hule930", "api_keys": keys, "unit": "token_rate", "plain_tokens": 200, "rate_per_s": 900000, "burst": 900000}
}

func (r *rig) plainEngines(n int) {
	for i := range n {
		r.startEngine(&engine{id: fmt.Sprintf("i-app%d", i), service: "wuno96b", version: "v1", zone: r.site.zones[i%3], slots: 6, work: 60 * time.Millisecond})
	}
}

// revokeTime is the revoke_ms of the settings.
const revokeTime = 5 * time.Second

// tenant: the operator takes the only tenant and its key away.
func tenant(r *rig, trouble bool) (broken []string) {
	r.store.put("config", "main", plainConfig(1, []any{oneTenant("k-hule")}))
	r.plainEngines(3)
	r.startHosts(3)
	time.Sleep(4 * time.Second)
	issue := func(key string) answer {
		return r.send(r.hosts[attempts.Load()%int64(len(r.hosts))], try{id: newAttempt(), method: "POST", path: "/puxa403/2f", key: key, deadline: 3 * time.Second, body: "one invoice"})
	}
	if a := issue("k-hule"); a.status != 200 {
		cannotRun("a request with the key gets %d", a.status)
	}
	if a := issue("k-never"); a.status != 401 {
		cannotRun("a request with an unknown key gets %d", a.status)
	}
	acknowledged := time.Now()
	if trouble {
		r.store.put("config", "main", plainConfig(2, []any{}))
		r.note("the configuration without the tenant is acknowledged")
	}
	time.Sleep(revokeTime + time.Second)
	late, unknown := map[string]bool{}, map[string]bool{}
	for range 20 {
		for key, ids := range map[string]map[string]bool{"k-hule": late, "k-never": unknown} {
			t := try{id: newAttempt(), method: "POST", path: "/puxa403/2f", key: key, deadline: 3 * time.Second, body: "one invoice"}
			ids[t.id] = true
			r.send(r.hosts[len(ids)%len(r.hosts)], t)
		}
	}
	ranLate, ranUnknown := 0, 0
	r.mu.Lock()
	for _, run := range r.runs {
		if late[run.attempt] {
			ranLate++
		}
		if unknown[run.attempt] {
			ranUnknown++
		}
	}
	r.mu.Unlock()
	fmt.Printf("%v after the acknowledgement: %d requests with the key that was taken away run, %d with a key that no configuration ever held\n", time.Since(acknowledged).Round(time.Second), ranLate, ranUnknown)
	if trouble && ranLate > 0 {
		broken = append(broken, fmt.Sprintf("CONFIG: %d of %d requests sent later than revoke_ms after the acknowledgement of a configuration that took their key away run", ranLate, len(late)))
	}
	if ranUnknown > 0 {
		broken = append(broken, fmt.Sprintf("ROUTE: %d of %d requests run whose key no configuration ever held", ranUnknown, len(unknown)))
	}
	return broken
}
