package coordinator

import (
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// Limits of large requests that a host sends without reservations while it hears no other host. Its callers would otherwise get
// none for as long as it is cut off. Several such hosts exceed the memory of an engine only if more than a few of their requests
// meet there within the moment that each of them runs.
const (
	aloneShare    = 16          // part of an engine's memory that such a request may take
	aloneInterval = time.Second // between two of them
)

// alone reports whether this host hears none of the other known hosts.
func (c *Client) alone() bool {
	together, _ := c.CountedTogether()
	return together <= 1 && len(c.opts.FleetView.Hosts()) > 1
}

// sendAlone reports whether a host that hears no other may send a large request without a reservation.
func (f *FleetView) sendAlone(t fleet.Target, tokens int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	spec := f.config.Services[t.Service].Engine
	if spec == nil || tokens > spec.KVTokens/aloneShare || f.memory.aloneAt > 0 && f.now() < f.memory.aloneAt+aloneInterval {
		return false
	}
	f.memory.aloneAt = f.now()
	return true
}
