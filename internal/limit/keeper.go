package limit

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"buckthornseam.dev/coord/quota"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
)

// Parameters of the keeper.
const (
	ledgerName = "shares"
	// readersPerRound is about how many hosts read the object API in each
	// round; the others ask one of their peers what is new.
	readersPerRound = 8
	roundInterval   = time.Second
	// kickInterval is the least time between rounds out of turn.
	kickInterval = 200 * time.Millisecond
	apiTimeout   = 6 * time.Second
	// releaseCalls bounds how many hosts are asked at once to drop loans.
	releaseCalls = 16
)

// state is what the keeper knows of the object API.
type state struct {
	Ledger  quota.Ledger     `json:"ledger"`
	Version platform.Version `json:"version"` // of the ledger's object, 0 if there is none
	Listed  map[string]bool  `json:"listed"`  // entry hosts
	HostsAt platform.Version `json:"hosts_at"`
}

// keeper keeps the ledger: it learns homes, opens new limits and moves those
// whose home is gone. Every write is conditional on the ledger that was read
// before the host list it rests on.
type keeper struct {
	x       *Limiter
	rng     *rand.Rand
	steward *quota.OrphanTracker

	mu       sync.Mutex
	known    state
	draining bool
}

func newKeeper(x *Limiter, rng *rand.Rand) *keeper {
	return &keeper{x: x, rng: rng, steward: quota.NewOrphanTracker(x.self)}
}

func (k *keeper) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-k.x.kick:
		}
		k.round(ctx)
		wait(ctx, kickInterval)
		timer.Reset(roundInterval)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// round learns what is new and does what is this host's to do.
func (k *keeper) round(ctx context.Context) {
	if !k.learn(ctx) {
		return
	}
	k.forgetGone()
	if k.isDraining() || !k.hasWork(k.snapshot()) {
		return
	}
	// What was learned from a peer is not good enough to act on.
	s, err := k.read(ctx)
	if err != nil {
		return
	}
	k.act(ctx, s)
}

// learn reads the object API or asks a peer. It reports whether anything was
// learned.
func (k *keeper) learn(ctx context.Context) bool {
	others := k.others()
	learned := len(others) > 0 && k.sync(ctx, others[k.rng.IntN(len(others))])
	if k.rng.IntN(len(others)+1) < readersPerRound {
		_, err := k.read(ctx)
		learned = learned || err == nil
	}
	return learned
}

func (k *keeper) others() []string {
	var names []string
	for _, m := range k.x.opts.Members.Members() {
		if m.ID.Name != k.x.self.Name && m.State == peer.StateAlive {
			names = append(names, m.ID.Name)
		}
	}
	return names
}

// adopt takes over whatever is newer than what is known.
func (k *keeper) adopt(s state) {
	k.mu.Lock()
	newer := s.Version > k.known.Version
	if newer {
		k.known.Ledger, k.known.Version = s.Ledger, s.Version
	}
	if s.HostsAt > k.known.HostsAt || k.known.Listed == nil {
		k.known.Listed, k.known.HostsAt = s.Listed, s.HostsAt
	}
	k.mu.Unlock()
	if newer {
		k.apply(s.Ledger)
	}
}

// apply tells the cores their epochs.
func (k *keeper) apply(ledger quota.Ledger) {
	for name, e := range *k.x.entries.Load() {
		if g, ok := ledger.Limits[name]; ok {
			e.assign(g)
		}
	}
}

func (k *keeper) snapshot() state {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.known
}

func (k *keeper) isListed(host string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.known.Listed[host]
}

func (k *keeper) isDraining() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.draining
}

// hasWork reports whether s shows limits that this host has to see to.
func (k *keeper) hasWork(s state) bool {
	pick := k.picker(s)
	return len(k.unopened(s, pick)) > 0 || len(k.steward.Orphans(s.Ledger, s.Listed, pick)) > 0
}

// picker returns the rule by which limits get their home: rendezvous hashing
// over the listed hosts that are alive.
func (k *keeper) picker(s state) func(limit string) string {
	var names []string
	for _, m := range k.x.opts.Members.Members() {
		if m.State == peer.StateAlive && s.Listed[m.ID.Name] {
			names = append(names, m.ID.Name)
		}
	}
	slices.Sort(names)
	return rendezvous.New(names, xxhash.Sum64String).Lookup
}

// pickFrom returns the same rule over the given hosts.
func pickFrom(hosts map[string]quota.ID) func(limit string) string {
	return rendezvous.New(slices.Sorted(maps.Keys(hosts)), xxhash.Sum64String).Lookup
}

// unopened returns the limits that are in no ledger yet and belong here.
func (k *keeper) unopened(s state, pick func(string) string) []string {
	var names []string
	for name := range *k.x.entries.Load() {
		if _, ok := s.Ledger.Limits[name]; !ok && pick(name) == k.x.self.Name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// act opens limits and moves those of homes that are gone, in one write.
func (k *keeper) act(ctx context.Context, s state) {
	if !s.Listed[k.x.self.Name] {
		return // a home that is not on the list would count as gone
	}
	pick := k.picker(s)
	ledger := quota.Ledger{Limits: maps.Clone(s.Ledger.Limits)}
	var changes []string
	for _, name := range k.unopened(s, pick) {
		if ledger.Open(name, k.x.self) {
			changes = append(changes, "open "+name)
		}
	}
	for home, names := range k.steward.Orphans(ledger, s.Listed, pick) {
		if !k.cleared(ctx, home, s.Listed) {
			continue
		}
		for _, name := range names {
			if ledger.Reassign(name, ledger.Limits[name].Epoch, k.x.self, 0) {
				changes = append(changes, "take over "+name)
			}
		}
	}
	if len(changes) > 0 {
		k.write(ctx, ledger, s.Version, changes)
	}
}

// cleared asks the listed hosts to drop what they borrowed from a home that is
// gone, and reports whether all have.
func (k *keeper) cleared(ctx context.Context, home quota.ID, listed map[string]bool) bool {
	var mu sync.Mutex
	var calls errgroup.Group
	calls.SetLimit(releaseCalls)
	for _, host := range k.steward.MissingAcks(home, listed) {
		calls.Go(func() error {
			if k.releaseOn(ctx, home, host) {
				mu.Lock()
				k.steward.Ack(home, host)
				mu.Unlock()
			}
			return nil
		})
	}
	_ = calls.Wait() // the calls return no error
	missing := k.steward.MissingAcks(home, listed)
	if len(missing) > 0 {
		k.x.opts.Log.WithFields(logrus.Fields{
			"event": "limit_takeover_waits", "home": home.Name, "hosts": strings.Join(missing, ","),
		}).Warn("limits of a host that is gone wait until these hosts have given up what they borrowed from it")
	}
	return len(missing) == 0
}

func (k *keeper) releaseOn(ctx context.Context, home quota.ID, host string) bool {
	if host == k.x.self.Name {
		return k.x.release(home)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r releaseResult
	err := k.x.opts.Caller.Call(ctx, host, methodRelease, releaseParams{Home: home}, &r)
	return err == nil && r.Clear
}

// write replaces the ledger if it is still at version. After a write of
// unknown outcome the next round reads what came of it.
func (k *keeper) write(ctx context.Context, ledger quota.Ledger, version platform.Version, changes []string) bool {
	ctx, cancel := context.WithTimeout(ctx, apiTimeout)
	defer cancel()
	data, err := json.Marshal(ledger)
	if err != nil {
		return false
	}
	k.x.metrics.writes.Inc(1)
	obj, err := k.x.opts.API.Put(ctx, platform.Object{Kind: platform.KindQuotas, Name: ledgerName, Version: version, Data: data})
	log := k.x.opts.Log.WithFields(logrus.Fields{"event": "limit_ledger_written", "changes": strings.Join(changes, ", ")})
	if err != nil {
		log.WithField("error", err.Error()).Warn("ledger of limits not written, or outcome unknown")
		return false
	}
	log.WithField("version", obj.Version).Info("ledger of limits written")
	news := state{Ledger: ledger, Version: obj.Version}
	k.adopt(news)
	k.spread(ctx, news)
	return true
}

// forgetGone tells homes of borrowers that the platform took off its list.
func (k *keeper) forgetGone() {
	listed := k.snapshot().Listed
	if len(listed) == 0 {
		return
	}
	for _, e := range *k.x.entries.Load() {
		e.do(func(now time.Duration) {
			for _, id := range e.core.Borrowers() {
				if !listed[id.Name] {
					e.core.RemoveBorrower(now, id)
				}
			}
		})
	}
}
