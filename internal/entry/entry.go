// Package entry tells callers which entry hosts to use.
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

// Host is one address in an answer.
type Host struct {
	Name    string  `json:"name"`
	Zone    string  `json:"zone"`    // availability zone
	Address string  `json:"address"` // IP:port
	Weight  float64 `json:"weight"`  // share of new callers, between 0 and 1
}

// HostList is an ordered list of addresses. The first two are in two
// availability zones if there are two. Callers keep both paths ready, use the
// first and go to the second when it fails; they ask again once the answer's
// life is over.
type HostList struct {
	Hosts      []Host  `json:"hosts"`
	TTLSeconds float64 `json:"life_seconds"`
}

// Handler answers GET /v1/entry-hosts. The query parameter zone gives the
// caller's availability zone.
type Handler struct {
	members peer.Members
	life    time.Duration

	mu  sync.Mutex
	rng *rand.Rand
}

// New returns a handler. Seed is for the order of hosts with equal weight.
func New(members peer.Members, life time.Duration, seed uint64) *Handler {
	return &Handler{members: members, life: life, rng: rand.New(rand.NewPCG(seed, 2))}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := HostList{
		Hosts:      h.order(h.members.Members(), r.URL.Query().Get("zone")),
		TTLSeconds: h.life.Seconds(),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // a caller that is gone needs no answer
}

// maxHosts bounds an answer. Callers use two addresses and need a few more for
// when those fail; all 1,200 of a large fleet would be 100 KB.
const maxHosts = 16

// order draws the hosts without replacement, each with a chance in proportion
// to its weight, so that callers spread over the first as well as over the
// second addresses. Hosts that take no new work are left out, suspect ones
// come last.
func (h *Handler) order(members []peer.Member, zone string) []Host {
	alive, suspect := split(members)
	out := h.draw(alive)
	preferZones(out, zone)
	out = append(out, h.draw(suspect)...)
	return out[:min(len(out), maxHosts)]
}

func split(members []peer.Member) (alive, suspect []peer.Member) {
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

// minWeight keeps a loaded host in the draw, so that it is not idle once its
// load has gone and the answer that says so is on its way.
const minWeight = 0.05

// weight falls with the load of a host.
func weight(m peer.Member) float64 {
	return math.Max(minWeight, 1-m.Load)
}

// draw returns the hosts in a weighted random order.
func (h *Handler) draw(members []peer.Member) []Host {
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

// preferZones moves a host of the caller's zone to the front and one of
// another zone to the second place.
func preferZones(hosts []Host, zone string) {
	if len(hosts) == 0 {
		return
	}
	moveUp(hosts, 0, func(h Host) bool { return h.Zone == zone })
	first := hosts[0].Zone
	moveUp(hosts, 1, func(h Host) bool { return h.Zone != first })
}

// moveUp moves the first host from place on that fits to place, and keeps the
// order of the others.
func moveUp(hosts []Host, place int, fits func(Host) bool) {
	for i := place; i < len(hosts); i++ {
		if fits(hosts[i]) {
			found := hosts[i]
			copy(hosts[place+1:i+1], hosts[place:i])
			hosts[place] = found
			return
		}
	}
}
