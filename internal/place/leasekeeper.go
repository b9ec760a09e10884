package place

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
	leaseName  = "place"
	leaseEvery = time.Second
	candidates = 3 // hosts that stand ready to decide
	// activeGrace is how long the holder goes on after its lease has run out
	// and no other holder is known; longer than a slow renewal.
	activeGrace = 15 * time.Second
	goneAfter   = 3 * time.Second // a holder that is no live member for so long is taken for gone
)

// leaseKeeper holds or watches the decider's lease. Only the first few hosts
// by hash order take part, so that the object API sees a few calls a second
// whatever the number of hosts.
type leaseKeeper struct {
	p *Placer

	mu      sync.Mutex
	core    *lease.Lease
	apiDown bool // last call failed
	stopped bool
	holder  string        // host name of the holder seen last
	place   int           // rank of this host, -1 if it has none
	aliveAt time.Duration // when the holder was last a live member
	heldAt  time.Duration // when this host last held the lease
	yielded bool          // another host holds it, as that host says
}

func newLeaseKeeper(p *Placer) *leaseKeeper {
	return &leaseKeeper{p: p, core: lease.New(leaseConfig(p.id)), place: -1}
}

// order returns the live hosts in the order in which they stand ready.
func order(members []peer.Member) []string {
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

// rank returns this host's place in the order, from 0; -1 if it has none.
func (k *leaseKeeper) rank() int {
	for i, name := range order(k.p.opts.Members.Members()) {
		if name == k.p.opts.Members.Self().ID.Name {
			return i
		}
	}
	return -1
}

// standsBy reports whether this host keeps a view of the records.
func (k *leaseKeeper) standsBy() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.place >= 0 && k.place < candidates
}

// hint returns the host that decides as far as this host knows.
func (k *leaseKeeper) hint() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder
}

// active reports whether this host decides now.
func (k *leaseKeeper) active() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return false
	}
	now := k.p.now()
	if _, held := k.core.Held(now); held {
		k.heldAt = now
		return true
	}
	if k.yielded {
		return false
	}
	// While the object API is down no host can take over by the lease. The
	// holder goes on, also while a slow renewal is under way; if it is gone,
	// the first live host acts. Conditional updates keep this safe: without
	// the API neither can decide anything.
	mine := k.core.Holder() == k.p.id
	first := k.place == 0 && !k.alive(k.holder)
	return mine && (k.apiDown || now < k.heldAt+activeGrace) || k.apiDown && first
}

// held reports whether this host holds the lease for certain.
func (k *leaseKeeper) held() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, held := k.core.Held(k.p.now())
	return held
}

// yield gives way to a host that holds the lease while this one, cut off from
// the object API, still acts. Its callers' requests then go to that host.
func (k *leaseKeeper) yield(ctx context.Context) {
	k.mu.Lock()
	cutOff := k.apiDown
	k.mu.Unlock()
	if !cutOff || !k.active() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaseEvery)
	defer cancel()
	ready := order(k.p.opts.Members.Members())
	for _, host := range ready[:min(len(ready), candidates)] {
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

func (k *leaseKeeper) alive(host string) bool {
	for _, m := range k.p.opts.Members.Members() {
		if m.ID.Name == host && m.State == peer.StateAlive {
			return true
		}
	}
	return false
}

func (k *leaseKeeper) run(ctx context.Context) {
	for {
		rank := k.rank()
		k.p.hosts.Store(int64(len(k.p.opts.Members.Members())))
		k.mu.Lock()
		k.place = rank
		k.mu.Unlock()
		if k.standsBy() || k.active() {
			k.round(ctx)
		}
		k.yield(ctx)
		k.p.loop.tell(ctx, activeInput{active: k.active()})
		select {
		case <-ctx.Done():
			return
		case <-time.After(leaseEvery):
		}
	}
}

// round reads the lease and writes it if that is due.
func (k *leaseKeeper) round(ctx context.Context) {
	k.mu.Lock()
	_, held := k.core.Held(k.p.now())
	stopped := k.stopped
	k.mu.Unlock()
	if stopped {
		return
	}
	if !held && !k.read(ctx) {
		return
	}
	k.mu.Lock()
	now := k.p.now()
	if k.alive(k.holder) {
		k.aliveAt = now
	}
	if now > k.aliveAt+goneAfter {
		k.core.ExpireOther()
	}
	w, due := k.core.Next(k.p.now())
	k.mu.Unlock()
	if due {
		k.write(ctx, w)
	}
}

// read takes in the stored lease; it reports false if the API does not answer.
func (k *leaseKeeper) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, apiLimit)
	defer cancel()
	began := k.p.now()
	obj, err := k.p.opts.API.Get(ctx, platform.KindLeases, leaseName)
	var rec lease.Record
	var missing *platform.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		k.failed(true)
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

// hostOf returns the host name of a holder, which is a peer.ID as a string.
func hostOf(holder string) string {
	name, _, _ := strings.Cut(holder, "/")
	return name
}

func (k *leaseKeeper) failed(down bool) {
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

func (k *leaseKeeper) write(ctx context.Context, w lease.Write) {
	ctx, cancel := context.WithTimeout(ctx, apiLimit)
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

// release gives the lease up.
func (k *leaseKeeper) release(ctx context.Context) error {
	k.mu.Lock()
	k.stopped = true
	w, due := k.core.Release(k.p.now())
	k.mu.Unlock()
	k.p.loop.tell(ctx, activeInput{active: false})
	if due {
		k.write(ctx, w)
	}
	return nil
}

// heard notes that a host answered as the decider.
func (k *leaseKeeper) heard(host string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.apiDown || k.place < 0 || k.place >= candidates {
		k.holder = host
	}
}
