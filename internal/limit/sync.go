package limit

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"

	"golang.org/x/sync/errgroup"

	"buckthornseam.dev/coord/quota"
	"buckthornseam.dev/seam/internal/member"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
)

// read gets the ledger and then the host list. The order matters: a host is assigned limits only
// while it is listed, so a home that the later list lacks is gone.
func (r *reconciler) read(ctx context.Context) (state, error) {
	var s state
	if err := r.readLedger(ctx, &s); err != nil {
		return s, err
	}
	if err := r.readHosts(ctx, &s); err != nil {
		return s, err
	}
	r.merge(s)
	return s, nil
}

func (r *reconciler) readLedger(ctx context.Context, s *state) error {
	ctx, cancel := context.WithTimeout(ctx, apiTimeout)
	defer cancel()
	r.limiter.metrics.reads.Inc(1)
	obj, err := r.limiter.opts.API.Get(ctx, platform.KindQuotas, ledgerName)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	s.Version = obj.Version
	if err := json.Unmarshal(obj.Data, &s.Ledger); err != nil {
		return &BadLedgerError{Cause: err}
	}
	return nil
}

func (r *reconciler) readHosts(ctx context.Context, s *state) error {
	ctx, cancel := context.WithTimeout(ctx, apiTimeout)
	defer cancel()
	r.limiter.metrics.reads.Inc(1)
	list, err := r.limiter.opts.API.List(ctx, platform.KindHosts)
	if err != nil {
		return err
	}
	s.HostsVersion = list.Version
	s.Listed = make(map[string]bool, len(list.Items))
	for _, item := range list.Items {
		if entry, err := member.ParseEntry(item); err == nil && entry.PeerAddress != "" {
			s.Listed[item.Name] = true
		}
	}
	return nil
}

// BadLedgerError reports a ledger that cannot be decoded.
type BadLedgerError struct {
	Cause error
}

func (e *BadLedgerError) Error() string { return "cannot decode the limits ledger: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BadLedgerError) Unwrap() error { return e.Cause }

// announceFanout is the number of hosts that are told of a new ledger at once. The others find it
// in their next round.
const announceFanout = 16

// announce sends a ledger that was just written to some peers.
func (r *reconciler) announce(ctx context.Context, update state) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	peers := r.alivePeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var calls errgroup.Group
	for _, host := range peers[:min(announceFanout, len(peers))] {
		calls.Go(func() error {
			if err := r.limiter.opts.Caller.Call(ctx, host, methodAnnounce, update, nil); err != nil {
				r.limiter.metrics.callsFailed.Inc(1)
			}
			return nil
		})
	}
	_ = calls.Wait() // the calls return no error
}

func (r *reconciler) handleAnnounce(_ context.Context, _ peer.ID, params json.RawMessage) (any, error) {
	var update state
	if err := decode(params, &update); err != nil {
		return nil, err
	}
	r.merge(update)
	return nil, nil
}

// syncParams holds the versions that the caller has.
type syncParams struct {
	Version      platform.Version `json:"version"`
	HostsVersion platform.Version `json:"hosts_at"`
}

// syncResult holds the parts of the state that are newer at the called host.
type syncResult struct {
	State *state `json:"ledger,omitempty"`
}

func (r *reconciler) handleSync(_ context.Context, _ peer.ID, params json.RawMessage) (any, error) {
	var p syncParams
	if err := decode(params, &p); err != nil {
		return nil, err
	}
	s := r.snapshot()
	if s.Version <= p.Version {
		s.Ledger, s.Version = quota.Ledger{}, 0
	}
	if s.HostsVersion <= p.HostsVersion {
		s.Listed, s.HostsVersion = nil, 0
	}
	if s.Version == 0 && s.HostsVersion == 0 {
		return syncResult{}, nil
	}
	return syncResult{State: &s}, nil
}

func (r *reconciler) syncWith(ctx context.Context, host string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	known := r.snapshot()
	var result syncResult
	params := syncParams{Version: known.Version, HostsVersion: known.HostsVersion}
	if err := r.limiter.opts.Caller.Call(ctx, host, methodSync, params, &result); err != nil {
		r.limiter.metrics.callsFailed.Inc(1)
		return false
	}
	if result.State != nil {
		r.merge(*result.State)
	}
	return true
}
