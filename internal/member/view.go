package member

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
)

// listInterval is the time between two readings of the host list.
const listInterval = time.Second

// View is the membership as seen from this host. It implements peer.Members
// and peer.AddressBook.
type View struct {
	api platform.API
	log logrus.FieldLogger

	mu      sync.Mutex
	self    peer.Member
	entries map[string]HostEntry
}

// NewView returns a view that holds this host only.
func NewView(self peer.Member, api platform.API, log logrus.FieldLogger) *View {
	self.State = peer.StateAlive
	return &View{api: api, log: log, self: self, entries: map[string]HostEntry{}}
}

// Self implements peer.Members.
func (v *View) Self() peer.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.self
}

// Members implements peer.Members.
func (v *View) Members() []peer.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := []peer.Member{v.self}
	for name, e := range v.entries {
		if name == v.self.ID.Name {
			continue
		}
		m := peer.Member{ID: peer.ID{Name: name}, Zone: e.Zone, Address: e.Address, PeerAddress: e.PeerAddress, State: peer.StateAlive}
		if e.Leaving {
			m.State = peer.StateLeaving
		}
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID.Name < out[j].ID.Name })
	return out
}

// PeerAddress implements peer.AddressBook.
func (v *View) PeerAddress(host string) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.entries[host]
	return e.PeerAddress, ok
}

// Leave marks this host as leaving.
func (v *View) Leave() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self.State = peer.StateLeaving
}

// Run reads the host list until ctx ends.
func (v *View) Run(ctx context.Context) error {
	tick := time.NewTicker(listInterval)
	defer tick.Stop()
	for {
		v.refresh(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// refresh replaces the entries; on failure the last ones stay in force.
func (v *View) refresh(ctx context.Context) {
	list, err := v.api.List(ctx, platform.KindHosts)
	if err != nil {
		v.log.WithField("event", "host_list_failed").Warn(err.Error())
		return
	}
	entries := make(map[string]HostEntry, len(list.Items))
	for _, obj := range list.Items {
		e, err := ParseEntry(obj)
		if err != nil {
			v.log.WithField("event", "host_entry_invalid").Warn(err.Error())
			continue
		}
		entries[e.Name] = e
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.entries = entries
}

// Interface checks.
var (
	_ peer.Members     = (*View)(nil)
	_ peer.AddressBook = (*View)(nil)
)
