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
	// EvacuationVersion is the version of the newest list that the sender knows; 0: none.
	EvacuationVersion uint64 `json:"er,omitempty"`
	// EvacuationAgeMS is the time since that list was known to be complete, rounded up; 0: never. A receiver that lacks the list,
	// since the message with it was lost, must not take its own one for complete.
	EvacuationAgeMS int64 `json:"ea,omitempty"`
}

// evacuationNews returns what to tell a receiver that has the list of the given version, and the version that it has then.
func (f *FleetView) evacuationNews(sent uint64) (EvacuationNews, uint64) {
	l, confirmedAt, known := f.Evacuations()
	if !known {
		return EvacuationNews{}, sent
	}
	n := EvacuationNews{EvacuationVersion: l.Version}
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
	own, _, known := f.Evacuations()
	if n.EvacuationAgeMS > 0 && known && own.Version >= n.EvacuationVersion {
		age := time.Duration(min(n.EvacuationAgeMS, maxEvacuationAge.Milliseconds())) * time.Millisecond
		f.confirmEvacuations(sentAt - age)
	}
}

// maxEvacuationAge stands for all longer ages of a list.
const maxEvacuationAge = time.Hour

// takeEvacuations applies the part of a report on evacuated zones.
func (c *Coordinator) takeEvacuations(host string, h *hostState, r Report) {
	if host == c.self {
		return // it has the same FleetView
	}
	hosts := max(len(c.hosts), len(c.fleetView.Hosts()))
	c.fleetView.applyEvacuationNews(r.EvacuationNews, host, c.now()-timeoutOf(r, hosts)) // it may have been under way for so long
	if r.EvacuationVersion > 0 {
		h.knownEvacuations = r.EvacuationVersion // also if it is lower, since a reply may have been lost
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
	if n.EvacuationVersion > 0 {
		c.sentEvacuations = n.EvacuationVersion
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
