package coordinator

import (
	"time"

	"buckthornseam.dev/coord/evacuation"
	"buckthornseam.dev/seam/internal/fleet"
)

// EvacuationNews is what hosts tell each other of evacuated zones, in reports and in the replies. A host of an earlier
// version sends neither field.
type EvacuationNews struct {
	// Evacuations is the newest list that the sender knows; nil: as last sent, or none.
	Evacuations *fleet.Evacuations `json:"ev,omitempty"`
	// EvacuationAgeMS is the time since this list was known to be complete, rounded up; 0: never.
	EvacuationAgeMS int64 `json:"ea,omitempty"`
}

// evacuationNews returns what to tell a receiver that has the list of the given version, and the version that it has then.
func (f *FleetView) evacuationNews(sent uint64) (EvacuationNews, uint64) {
	l, confirmedAt, known := f.Evacuations()
	if !known {
		return EvacuationNews{}, sent
	}
	var n EvacuationNews
	if confirmedAt > 0 {
		n.EvacuationAgeMS = max(0, (f.now()-confirmedAt).Milliseconds()) + 1
	}
	if l.Version > sent {
		n.Evacuations, sent = &l, l.Version
	}
	return n, sent
}

// applyEvacuationNews applies what another host has told. It was right at a time not before sentAt.
func (f *FleetView) applyEvacuationNews(n EvacuationNews, source string, sentAt time.Duration) {
	if n.Evacuations != nil {
		f.mergeEvacuations(*n.Evacuations, source)
	}
	if n.EvacuationAgeMS > 0 {
		f.confirmEvacuations(sentAt - time.Duration(n.EvacuationAgeMS)*time.Millisecond)
	}
}

// takeEvacuations applies the part of a report on evacuated zones.
func (c *Coordinator) takeEvacuations(host string, h *hostState, r Report) {
	if host == c.self {
		return // it has the same FleetView
	}
	c.fleetView.applyEvacuationNews(r.EvacuationNews, host, c.now()-timeoutOf(r, len(c.hosts))) // it may have been under way for so long
	if r.Evacuations != nil {
		h.knownEvacuations = max(h.knownEvacuations, r.Evacuations.Version)
	}
}

// addEvacuations adds to a reply what the host does not know of evacuated zones.
func (c *Coordinator) addEvacuations(age *StoreAge, host string, h *hostState) {
	if host != c.self {
		age.EvacuationNews, h.knownEvacuations = c.fleetView.evacuationNews(h.knownEvacuations)
	}
}

// addEvacuations adds to a report what the coordinator does not know of evacuated zones. The caller must hold c.mu.
func (c *Client) addEvacuations(r *Report) {
	if c.currentCoordinator != c.opts.Self.Name {
		r.EvacuationNews, c.sentEvacuations = c.opts.FleetView.evacuationNews(c.sentEvacuations)
	}
}

// applyEvacuations applies the part of a reply on evacuated zones. The caller must hold c.mu.
func (c *Client) applyEvacuations(n EvacuationNews, began time.Duration) {
	c.opts.FleetView.applyEvacuationNews(n, c.currentCoordinator, began)
	if n.Evacuations != nil {
		c.sentEvacuations = max(c.sentEvacuations, n.Evacuations.Version)
	}
}

// EvacuationPollAge returns the age of the list of evacuated zones from which this host reads it from the store.
func (c *Client) EvacuationPollAge(bound time.Duration) time.Duration {
	hosts, recent := c.LiveHosts()
	if !recent || len(hosts) <= 1 {
		return evacuation.PollAge(bound, evacuation.FirstPollers)
	}
	rank := 0
	for _, name := range hosts {
		if name < c.opts.Self.Name {
			rank++
		}
	}
	return evacuation.PollAge(bound, rank)
}
