// Package entry serves the list of entry hosts that a caller should use.
package entry

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"buckthornseam.dev/seam/internal/peer"
)

// Host is an entry host in a HostList.
type Host struct {
	Name    string  `json:"name"`
	Zone    string  `json:"zone"`    // availability zone
	Address string  `json:"address"` // IP:port
	Weight  float64 `json:"weight"`  // relative share of new callers, between 0 and 1
}

// HostList is a list of entry hosts in order of preference. The first two are in
// different availability zones if possible. Callers keep connections to both
// ready, use the first and fail over to the second. They request a new list once
// the TTL has passed.
type HostList struct {
	Hosts      []Host  `json:"hosts"`
	TTLSeconds float64 `json:"life_seconds"`
}

// Handler serves GET /v1/entry-hosts. The query parameter zone is the caller's
// availability zone.
type Handler struct {
	members peer.Members
	ttl     time.Duration

	mu  sync.Mutex
	rng *rand.Rand
}

// New returns a handler. Seed is the seed of the random order of hosts.
func New(members peer.Members, ttl time.Duration, seed uint64) *Handler {
	return &Handler{members: members, ttl: ttl, rng: rand.New(rand.NewPCG(seed, 2))}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	list := HostList{
		Hosts:      h.order(h.members.Members(), r.URL.Query().Get("zone")),
		TTLSeconds: h.ttl.Seconds(),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // fails only if the caller has disconnected
}

// maxHosts is the greatest number of hosts in a list. Callers use two addresses
// and need a few more in case those fail; all 1,200 of a large fleet would be
// 100 KB.
const maxHosts = 16

// order samples the hosts without replacement, each with a probability in
// proportion to its weight, so that both the first and the second addresses of
// callers spread over the hosts. Hosts that take no new work are left out,
// suspect ones come last.
func (h *Handler) order(members []peer.Member, zone string) []Host {
	alive, suspect := splitByState(members)
	out := h.shuffle(alive)
	preferZones(out, zone)
	out = append(out, h.shuffle(suspect)...)
	return out[:min(len(out), maxHosts)]
}

func splitByState(members []peer.Member) (alive, suspect []peer.Member) {
	for _, m := range members {
		switch m.State {
		case peer.StateAlive:
			alive = append(alive, m)
		case peer.StateSuspect:
			suspect = append(suspect, m)
		}
	}
	return alive, suspect
}

// minWeight keeps a fully loaded host in the lists. Without it, the host would be
// idle from the time its load drops until callers get lists that show the drop.
const minWeight = 0.05

// weight returns the weight of a host, which decreases with its load.
func weight(m peer.Member) float64 {
	return math.Max(minWeight, 1-m.Load)
}

// shuffle returns the hosts in a weighted random order.
func (h *Handler) shuffle(members []peer.Member) []Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	hosts := make([]Host, 0, len(members))
	rank := make(map[string]float64, len(members))
	for _, m := range members {
		w := weight(m)
		hosts = append(hosts, Host{Name: m.ID.Name, Zone: m.Zone, Address: m.Address, Weight: w})
		rank[m.ID.Name] = h.rng.ExpFloat64() / w
	}
	sort.Slice(hosts, func(i, j int) bool { return rank[hosts[i].Name] < rank[hosts[j].Name] })
	return hosts
}

// preferZones moves a host of the caller's zone to the first position and one of
// another zone to the second.
func preferZones(hosts []Host, zone string) {
	if len(hosts) == 0 {
		return
	}
	moveToPosition(hosts, 0, func(h Host) bool { return h.Zone == zone })
	first := hosts[0].Zone
	moveToPosition(hosts, 1, func(h Host) bool { return h.Zone != first })
}

// moveToPosition moves the first host at or after pos that matches to pos, and
// keeps the order of the others.
func moveToPosition(hosts []Host, pos int, matches func(Host) bool) {
	for i := pos; i < len(hosts); i++ {
		if matches(hosts[i]) {
			found := hosts[i]
			copy(hosts[pos+1:i+1], hosts[pos:i])
			hosts[pos] = found
			return
		}
	}
}
