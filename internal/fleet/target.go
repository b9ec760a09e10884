package fleet

import (
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Target is one registered target, as described by its latest registration.
type Target struct {
	ID         string // usually changes with every start
	Service    string
	Address    string // IP:port
	Zone       string
	Version    string // of the target's software
	Slots      int
	Draining   bool
	WarmupLeft time.Duration       // remaining time of slow operation after the start
	RemovedIn  time.Duration       // time until its removal; 0: unknown
	StartedMS  int64               // start in Unix milliseconds; 0: unknown
	Models     map[string][]string // loaded models with their adapters
	OnDisk     []string
	InMemory   []string
	Revision   uint64 // store revision of the registration
	// Missing is set if it is not registered any more, but may be again in a moment, and most targets of its service
	// are: it is sent nothing meanwhile.
	Missing bool
}

// Targets is an immutable set of targets.
type Targets struct {
	ByID      map[string]Target
	ByService map[string][]string // ids
	// Digest is equal for two sets that have the same targets in the same state, with the same
	// models on all disks together. It does not tell which models are loaded where.
	Digest uint64
}

// NewTargets returns the set of the given targets.
func NewTargets(byID map[string]Target) *Targets {
	t := &Targets{ByID: maps.Clone(byID), ByService: map[string][]string{}}
	for id, target := range byID {
		t.ByService[target.Service] = append(t.ByService[target.Service], id)
	}
	t.Digest = t.digest()
	return t
}

// WithDraining returns the targets with those marked as draining for which drains returns true. The digest stays that of
// the targets as they are registered.
func (t *Targets) WithDraining(drains func(Target) bool) *Targets {
	var byID map[string]Target
	for id, target := range t.ByID {
		if target.Draining || !drains(target) {
			continue
		}
		if byID == nil {
			byID = maps.Clone(t.ByID)
		}
		target.Draining = true
		byID[id] = target
	}
	if byID == nil {
		return t
	}
	return &Targets{ByID: byID, ByService: t.ByService, Digest: t.Digest}
}

// digest sums hashes, so that it does not depend on an order.
func (t *Targets) digest() uint64 {
	var sum uint64
	onDisk := map[string]bool{}
	for id, target := range t.ByID {
		fields := []string{id, target.Service, target.Address, strconv.FormatBool(target.Draining), strconv.FormatInt(target.StartedMS, 10)}
		sum += xxhash.Sum64String(strings.Join(fields, "\x00"))
		for _, model := range target.OnDisk {
			onDisk[target.Service+"\x00"+model] = true
		}
	}
	for model := range onDisk {
		sum += xxhash.Sum64String(model)
	}
	return sum
}

// Host is one host that has joined the deployment.
type Host struct {
	Name           string  `json:"name"`
	Incarnation    string  `json:"incarnation"`
	Zone           string  `json:"zone"`
	Address        string  `json:"address"`                 // IP:port for callers
	PeerAddress    string  `json:"peer_address"`            // IP:port for other hosts
	RelayAddress   string  `json:"relay_address,omitempty"` // IP:port for requests of other hosts' callers; empty: it takes none
	Weight         float64 `json:"weight"`                  // CPU share; the host with the largest becomes the coordinator
	Leaving        bool    `json:"leaving,omitempty"`       // a planned stop has started
	StartedMS      int64   `json:"started_ms,omitempty"`    // start of the process by its clock, Unix time; 0: from an earlier version
	ModRevision    uint64  `json:"-"`                       // store revision of the entry
	CreateRevision uint64  `json:"-"`                       // store revision of its first version
}
