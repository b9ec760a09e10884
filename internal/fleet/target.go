package fleet

import (
	"maps"
	"time"
)

// Target is one registered back end as its last check-in describes it.
type Target struct {
	ID        string // differs between starts, mostly
	Service   string
	Address   string // IP:port
	Zone      string
	Slots     int
	Draining  bool
	Cold      time.Duration       // how much longer it stays slow after its start
	Leaves    time.Duration       // until it is taken away; 0: unknown
	StartedMS int64               // start in Unix milliseconds; 0: unknown
	Models    map[string][]string // resident models with their adapters
	OnDisk    []string
	InMemory  []string
	Revision  uint64 // store revision of this check-in
}

// Targets is an immutable set of targets by id.
type Targets struct {
	ByID      map[string]Target
	ByService map[string][]string // ids
}

// NewTargets indexes a set.
func NewTargets(byID map[string]Target) *Targets {
	t := &Targets{ByID: maps.Clone(byID), ByService: map[string][]string{}}
	for id, target := range byID {
		t.ByService[target.Service] = append(t.ByService[target.Service], id)
	}
	return t
}

// Host is one entry host that is a member.
type Host struct {
	Name           string  `json:"name"`
	Incarnation    string  `json:"incarnation"`
	Zone           string  `json:"zone"`
	Address        string  `json:"address"`      // IP:port for callers
	PeerAddress    string  `json:"peer_address"` // IP:port for other hosts
	Weight         float64 `json:"weight"`       // processor share, for spreading callers
	ModRevision    uint64  `json:"-"`            // store revision of the entry
	CreateRevision uint64  `json:"-"`            // store revision of its first version
}
