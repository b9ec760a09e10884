// Package entry tells callers which entry hosts to use.
package entry

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"buckthornseam.dev/seam/internal/peer"
)

// Host is one address in an answer.
type Host struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // IP:port
	Weight  int    `json:"weight"`  // share of new connections
}

// Answer is an ordered list of addresses. Callers use the first and go on to
// the next when it fails; they ask again once the answer's life is over.
type Answer struct {
	Hosts       []Host  `json:"hosts"`
	LifeSeconds float64 `json:"life_seconds"`
}

// Handler answers GET /v1/entry-hosts. The query parameter zone gives the
// caller's availability zone.
type Handler struct {
	Members peer.Members
	Life    time.Duration
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := Answer{
		Hosts:       order(h.Members.Members(), r.URL.Query().Get("zone")),
		LifeSeconds: h.Life.Seconds(),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // a caller that is gone needs no answer
}

// order puts the caller's zone first and leaves out hosts that take no new work.
func order(members []peer.Member, zone string) []Host {
	out := []Host{}
	for _, m := range members {
		if m.State == peer.StateAlive {
			out = append(out, Host{Name: m.ID.Name, Zone: m.Zone, Address: m.Address, Weight: 1})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Zone == zone && out[j].Zone != zone })
	return out
}
