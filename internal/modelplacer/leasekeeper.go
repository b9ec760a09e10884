package modelplacer

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornseam.dev/coord/lease"
	"buckthornseam.dev/coord/placement"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
)

const (
	leaseName      = "place"
	leaseInterval  = time.Second
	candidateCount = 3 // the first hosts in rankedHosts compete for the lease
	// activeGrace is how long the holder stays active after its lease has
	// expired while no other holder is known. It is longer than a slow renewal.
	activeGrace     = 15 * time.Second
	holderGoneAfter = 3 * time.Second // a holder that has not been a live member for so long counts as gone
)

// leaseKeeper acquires, renews or observes the decider's lease. Only the first
// few hosts by hash order take part, so that the rate of calls to the object API
// doesn't grow with the number of hosts.
type leaseKeeper struct {
	p *Placer

	mu            sync.Mutex
	core          *lease.Lease
	apiDown       bool // the last API call failed
	stopped       bool
	holder        string        // host name of the last known holder
	rank          int           // of this host, -1 if it has none
	holderAliveAt time.Duration // when the holder was last a live member
	lastHeldAt    time.Duration // when this host last held the lease
	yielded       bool          // another host reported that it holds the lease
}

func newLeaseKeeper(p *Placer) *leaseKeeper {
	return &leaseKeeper{p: p, core: lease.New(leaseConfig(p.id)), rank: -1}
}

// rankedHosts returns the live hosts in hash order; the first candidateCount of
// them are the candidates for the lease.
func rankedHosts(members []peer.Member) []string {
	var names []string
	for _, m := range members {
		if m.State == peer.StateAlive {
			names = append(names, m.ID.Name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		return xxhash.Sum64String(leaseName+names[i]) < xxhash.Sum64String(leaseName+names[j])
	})
	return names
}

// currentRank returns this host's index in rankedHosts, or -1 if it is not a live member.
func (k *leaseKeeper) currentRank() int {
	for i, name := range rankedHosts(k.p.opts.Members.Members()) {
		if name == k.p.opts.Members.Self().ID.Name {
			return i
		}
	}
	return -1
}

// isCandidate reports whether this host competes for the lease. Candidates keep
// their view of the placement records up to date.
func (k *leaseKeeper) isCandidate() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.rank >= 0 && k.rank < candidateCount
}

// knownHolder returns the last known holder of the lease, or "".
func (k *leaseKeeper) knownHolder() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder
}

// active reports whether this host acts as the decider now.
func (k *leaseKeeper) active() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return false
	}
	now := k.p.now()
	if _, held := k.core.Held(now); held {
		k.lastHeldAt = now
		return true
	}
	if k.yielded {
		return false
	}
	// While the object API is down, no host can take over the lease. The holder
	// stays active, also during a slow renewal; if it is gone, the live host
	// of rank 0 is active. Conditional updates keep this safe: neither can
	// make a new decision without the API.
	selfIsHolder := k.core.Holder() == k.p.id
	successor := k.rank == 0 && !k.isAlive(k.holder)
	return selfIsHolder && (k.apiDown || now < k.lastHeldAt+activeGrace) || k.apiDown && successor
}

// held reports whether this host certainly holds the lease.
func (k *leaseKeeper) held() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, held := k.core.Held(k.p.now())
	return held
}

// yieldToHolder makes this host inactive if it is cut off from the object API
// and another candidate reports that it holds the lease. Callers are then
// referred to that host.
func (k *leaseKeeper) yieldToHolder(ctx context.Context) {
	k.mu.Lock()
	cutOff := k.apiDown
	k.mu.Unlock()
	if !cutOff || !k.active() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaseInterval)
	defer cancel()
	ranked := rankedHosts(k.p.opts.Members.Members())
	for _, host := range ranked[:min(len(ranked), candidateCount)] {
		var r reportsResult
		if host == k.p.opts.Members.Self().ID.Name || k.p.callHost(ctx, host, methodReports, reportsParams{}, &r) != nil || !r.Held {
			continue
		}
		k.mu.Lock()
		k.yielded = true
		k.holder = host
		k.mu.Unlock()
		return
	}
}

func (k *leaseKeeper) isAlive(host string) bool {
	for _, m := range k.p.opts.Members.Members() {
		if m.ID.Name == host && m.State == peer.StateAlive {
			return true
		}
	}
	return false
}

func (k *leaseKeeper) run(ctx context.Context) {
	for {
		rank := k.currentRank()
		k.p.memberCount.Store(int64(len(k.p.opts.Members.Members())))
		k.mu.Lock()
		k.rank = rank
		k.mu.Unlock()
		if k.isCandidate() || k.active() {
			k.refresh(ctx)
		}
		k.yieldToHolder(ctx)
		k.p.loop.send(ctx, activeInput{active: k.active()})
		select {
		case <-ctx.Done():
			return
		case <-time.After(leaseInterval):
		}
	}
}

// refresh reads the lease, unless this host holds it, and writes it if that is due.
func (k *leaseKeeper) refresh(ctx context.Context) {
	k.mu.Lock()
	_, held := k.core.Held(k.p.now())
	stopped := k.stopped
	k.mu.Unlock()
	if stopped {
		return
	}
	if !held && !k.readLease(ctx) {
		return
	}
	k.mu.Lock()
	now := k.p.now()
	if k.isAlive(k.holder) {
		k.holderAliveAt = now
	}
	if now > k.holderAliveAt+holderGoneAfter {
		k.core.ExpireOther()
	}
	w, due := k.core.Next(k.p.now())
	k.mu.Unlock()
	if due {
		k.writeLease(ctx, w)
	}
}

// readLease reads the stored lease. It returns false if the API call fails.
func (k *leaseKeeper) readLease(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, apiTimeout)
	defer cancel()
	began := k.p.now()
	obj, err := k.p.opts.API.Get(ctx, platform.KindLeases, leaseName)
	var rec lease.Record
	var missing *platform.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		k.setAPIDown(true)
		return false
	}
	if err == nil && json.Unmarshal(obj.Data, &rec) != nil {
		rec = lease.Record{} // an unreadable lease is taken over
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.apiDown = false
	k.yielded = false
	k.core.Observe(began, rec, uint64(obj.Version))
	k.holder = hostOf(k.core.Holder())
	return true
}

// hostOf returns the host name in a lease holder, which is a peer.ID as a string.
func hostOf(holder string) string {
	name, _, _ := strings.Cut(holder, "/")
	return name
}

func (k *leaseKeeper) setAPIDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.apiDown = down
}

var leaseOutcomes = map[placement.Outcome]lease.Outcome{
	placement.Succeeded: lease.Written,
	placement.Conflict:  lease.Conflict,
	placement.Failed:    lease.Failed,
	placement.Unknown:   lease.Unknown,
}

func (k *leaseKeeper) writeLease(ctx context.Context, w lease.Write) {
	ctx, cancel := context.WithTimeout(ctx, apiTimeout)
	defer cancel()
	data, err := json.Marshal(w.Record)
	if err != nil {
		return
	}
	stored, err := k.p.opts.API.Put(ctx, platform.Object{
		Kind: platform.KindLeases, Name: leaseName, Version: platform.Version(w.Version), Data: data,
	})
	k.mu.Lock()
	defer k.mu.Unlock()
	k.core.Finish(leaseOutcomes[writeOutcome(err)], uint64(stored.Version))
	var conflict *platform.ConflictError
	k.apiDown = err != nil && !errors.As(err, &conflict)
	k.holder = hostOf(k.core.Holder())
}

// release gives up the lease and makes this host inactive for good.
func (k *leaseKeeper) release(ctx context.Context) error {
	k.mu.Lock()
	k.stopped = true
	w, due := k.core.Release(k.p.now())
	k.mu.Unlock()
	k.p.loop.send(ctx, activeInput{active: false})
	if due {
		k.writeLease(ctx, w)
	}
	return nil
}

// setKnownHolder records a host that replied as the decider. A candidate
// ignores it while the object API is down.
func (k *leaseKeeper) setKnownHolder(host string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.apiDown || k.rank < 0 || k.rank >= candidateCount {
		k.holder = host
	}
}
