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
	"buckthornseam.dev/seam/internal/ctxsleep"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
)

// Parameters of the reconciler.
const (
	ledgerName = "shares"
	// readersPerRound is the approximate number of hosts that read the object API in each round.
	// The others ask a peer.
	readersPerRound   = 8
	reconcileInterval = time.Second
	// minReconcileInterval is the least time between rounds, which matters for triggered ones.
	minReconcileInterval = 200 * time.Millisecond
	apiTimeout           = 6 * time.Second
	// maxReleaseCalls bounds the concurrent calls that ask hosts to release loans.
	maxReleaseCalls = 16
)

// state is what the reconciler knows of the objects in the API.
type state struct {
	Ledger       quota.Ledger     `json:"ledger"`
	Version      platform.Version `json:"version"` // version of the ledger's object, 0 if there is none
	Listed       map[string]bool  `json:"listed"`  // entry hosts on the platform's list
	HostsVersion platform.Version `json:"hosts_at"`
}

// reconciler keeps the ledger up to date. It reads the homes, opens new limits and takes over
// those whose home is gone. Each write is conditional on the ledger that was read before the host
// list that the write is based on.
type reconciler struct {
	limiter *Limiter
	rng     *rand.Rand
	tracker *quota.OrphanTracker

	mu       sync.Mutex
	known    state
	draining bool
}

func newReconciler(l *Limiter, rng *rand.Rand) *reconciler {
	return &reconciler{limiter: l, rng: rng, tracker: quota.NewOrphanTracker(l.self)}
}

func (r *reconciler) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-r.limiter.trigger:
		}
		r.reconcile(ctx)
		ctxsleep.Sleep(ctx, minReconcileInterval)
		timer.Reset(reconcileInterval)
	}
}

// reconcile refreshes the known state and makes the changes that this host is responsible for.
func (r *reconciler) reconcile(ctx context.Context) {
	if !r.refresh(ctx) {
		return
	}
	r.removeUnlistedBorrowers()
	if r.isDraining() || !r.hasWork(r.snapshot()) {
		return
	}
	// State from a peer may be stale, so read the API before a change.
	s, err := r.read(ctx)
	if err != nil {
		return
	}
	r.updateLedger(ctx, s)
}

// refresh asks a peer for newer state, reads the object API, or both. It reports whether either
// succeeded.
func (r *reconciler) refresh(ctx context.Context) bool {
	peers := r.alivePeers()
	refreshed := len(peers) > 0 && r.syncWith(ctx, peers[r.rng.IntN(len(peers))])
	if r.rng.IntN(len(peers)+1) < readersPerRound {
		_, err := r.read(ctx)
		refreshed = refreshed || err == nil
	}
	return refreshed
}

func (r *reconciler) alivePeers() []string {
	var names []string
	for _, m := range r.limiter.opts.Members.Members() {
		if m.ID.Name != r.limiter.self.Name && m.State == peer.StateAlive {
			names = append(names, m.ID.Name)
		}
	}
	return names
}

// merge adopts the parts of s that are newer than what is known.
func (r *reconciler) merge(s state) {
	r.mu.Lock()
	newer := s.Version > r.known.Version
	if newer {
		r.known.Ledger, r.known.Version = s.Ledger, s.Version
	}
	if s.HostsVersion > r.known.HostsVersion || r.known.Listed == nil {
		r.known.Listed, r.known.HostsVersion = s.Listed, s.HostsVersion
	}
	r.mu.Unlock()
	if newer {
		r.applyLedger(s.Ledger)
	}
}

// applyLedger passes the assignments in the ledger to the limits of this host.
func (r *reconciler) applyLedger(ledger quota.Ledger) {
	for name, e := range *r.limiter.entries.Load() {
		if a, ok := ledger.Limits[name]; ok {
			e.assign(a)
		}
	}
}

func (r *reconciler) snapshot() state {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}

func (r *reconciler) isListed(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known.Listed[host]
}

func (r *reconciler) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// hasWork reports whether s contains limits that this host must open or take over.
func (r *reconciler) hasWork(s state) bool {
	pick := r.homePicker(s)
	return len(r.unopened(s, pick)) > 0 || len(r.tracker.Orphans(s.Ledger, s.Listed, pick)) > 0
}

// homePicker returns the function that chooses the home of a limit, by rendezvous hashing over the
// listed hosts that are alive.
func (r *reconciler) homePicker(s state) func(limit string) string {
	var names []string
	for _, m := range r.limiter.opts.Members.Members() {
		if m.State == peer.StateAlive && s.Listed[m.ID.Name] {
			names = append(names, m.ID.Name)
		}
	}
	slices.Sort(names)
	return rendezvous.New(names, xxhash.Sum64String).Lookup
}

// homePickerAmong is like homePicker for the given hosts.
func homePickerAmong(hosts map[string]quota.ID) func(limit string) string {
	return rendezvous.New(slices.Sorted(maps.Keys(hosts)), xxhash.Sum64String).Lookup
}

// unopened returns the limits that the ledger does not contain and this host should be home of.
func (r *reconciler) unopened(s state, pick func(string) string) []string {
	var names []string
	for name := range *r.limiter.entries.Load() {
		if _, ok := s.Ledger.Limits[name]; !ok && pick(name) == r.limiter.self.Name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// updateLedger opens new limits and takes over those whose home is gone, in one write.
func (r *reconciler) updateLedger(ctx context.Context, s state) {
	if !s.Listed[r.limiter.self.Name] {
		return // other hosts would regard an unlisted home as gone
	}
	pick := r.homePicker(s)
	ledger := quota.Ledger{Limits: maps.Clone(s.Ledger.Limits)}
	var changes []string
	for _, name := range r.unopened(s, pick) {
		if ledger.Open(name, r.limiter.self) {
			changes = append(changes, "open "+name)
		}
	}
	for home, names := range r.tracker.Orphans(ledger, s.Listed, pick) {
		if !r.allReleased(ctx, home, s.Listed) {
			continue
		}
		for _, name := range names {
			if ledger.Reassign(name, ledger.Limits[name].Epoch, r.limiter.self, 0) {
				changes = append(changes, "take over "+name)
			}
		}
	}
	if len(changes) > 0 {
		r.writeLedger(ctx, ledger, s.Version, changes)
	}
}

// allReleased asks the listed hosts to release what they borrowed from a home that is gone. It
// reports whether all have done so.
func (r *reconciler) allReleased(ctx context.Context, home quota.ID, listed map[string]bool) bool {
	var mu sync.Mutex
	var calls errgroup.Group
	calls.SetLimit(maxReleaseCalls)
	for _, host := range r.tracker.MissingAcks(home, listed) {
		calls.Go(func() error {
			if r.releaseOn(ctx, home, host) {
				mu.Lock()
				r.tracker.Ack(home, host)
				mu.Unlock()
			}
			return nil
		})
	}
	_ = calls.Wait() // the calls return no error
	missing := r.tracker.MissingAcks(home, listed)
	if len(missing) > 0 {
		r.limiter.opts.Log.WithFields(logrus.Fields{
			"event": "limit_takeover_waits", "home": home.Name, "hosts": strings.Join(missing, ","),
		}).Warn("limits of a host that is gone cannot be taken over until these hosts release what they borrowed from it")
	}
	return len(missing) == 0
}

func (r *reconciler) releaseOn(ctx context.Context, home quota.ID, host string) bool {
	if host == r.limiter.self.Name {
		return r.limiter.release(home)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var result releaseResult
	err := r.limiter.opts.Caller.Call(ctx, host, methodRelease, releaseParams{Home: home}, &result)
	return err == nil && result.Released
}

// writeLedger replaces the ledger if it is still at version. If the outcome of a write is unknown,
// the next round reads the result.
func (r *reconciler) writeLedger(ctx context.Context, ledger quota.Ledger, version platform.Version,
	changes []string) bool {
	ctx, cancel := context.WithTimeout(ctx, apiTimeout)
	defer cancel()
	data, err := json.Marshal(ledger)
	if err != nil {
		return false
	}
	r.limiter.metrics.writes.Inc(1)
	obj, err := r.limiter.opts.API.Put(ctx, platform.Object{
		Kind: platform.KindQuotas, Name: ledgerName, Version: version, Data: data,
	})
	log := r.limiter.opts.Log.WithFields(logrus.Fields{
		"event": "limit_ledger_written", "changes": strings.Join(changes, ", "),
	})
	if err != nil {
		log.WithField("error", err.Error()).Warn("write of the limits ledger failed or has an unknown outcome")
		return false
	}
	log.WithField("version", obj.Version).Info("limits ledger written")
	update := state{Ledger: ledger, Version: obj.Version}
	r.merge(update)
	r.announce(ctx, update)
	return true
}

// removeUnlistedBorrowers removes borrowers that the platform no longer lists from the limits that
// this host is home of.
func (r *reconciler) removeUnlistedBorrowers() {
	listed := r.snapshot().Listed
	if len(listed) == 0 {
		return
	}
	for _, e := range *r.limiter.entries.Load() {
		e.do(func(now time.Duration) {
			for _, id := range e.limit.Borrowers() {
				if !listed[id.Name] {
					e.limit.RemoveBorrower(now, id)
				}
			}
		})
	}
}
