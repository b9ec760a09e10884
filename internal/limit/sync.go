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

// read gets the ledger, then the host list, in this order: a home is granted
// limits only while it is listed, so one that the later list lacks is gone.
func (k *keeper) read(ctx context.Context) (state, error) {
	var s state
	if err := k.readLedger(ctx, &s); err != nil {
		return s, err
	}
	if err := k.readHosts(ctx, &s); err != nil {
		return s, err
	}
	k.adopt(s)
	return s, nil
}

func (k *keeper) readLedger(ctx context.Context, s *state) error {
	ctx, cancel := context.WithTimeout(ctx, apiTimeout)
	defer cancel()
	k.x.metrics.reads.Inc(1)
	obj, err := k.x.opts.API.Get(ctx, platform.KindQuotas, ledgerName)
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

func (k *keeper) readHosts(ctx context.Context, s *state) error {
	ctx, cancel := context.WithTimeout(ctx, apiTimeout)
	defer cancel()
	k.x.metrics.reads.Inc(1)
	list, err := k.x.opts.API.List(ctx, platform.KindHosts)
	if err != nil {
		return err
	}
	s.HostsAt = list.Version
	s.Listed = make(map[string]bool, len(list.Items))
	for _, item := range list.Items {
		if entry, err := member.ParseEntry(item); err == nil && entry.PeerAddress != "" {
			s.Listed[item.Name] = true
		}
	}
	return nil
}

// BadLedgerError reports a ledger that cannot be read.
type BadLedgerError struct {
	Cause error
}

func (e *BadLedgerError) Error() string { return "ledger of limits: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *BadLedgerError) Unwrap() error { return e.Cause }

// newsFanout is the number of hosts that are told of a new ledger at once; the
// others find it in their next round.
const newsFanout = 16

// spread tells peers of a ledger just written.
func (k *keeper) spread(ctx context.Context, news state) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	others := k.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var calls errgroup.Group
	for _, host := range others[:min(newsFanout, len(others))] {
		calls.Go(func() error {
			if err := k.x.opts.Caller.Call(ctx, host, methodNews, news, nil); err != nil {
				k.x.metrics.callsFailed.Inc(1)
			}
			return nil
		})
	}
	_ = calls.Wait() // the calls return no error
}

func (k *keeper) handleNews(_ context.Context, _ peer.ID, params json.RawMessage) (any, error) {
	var news state
	if err := decode(params, &news); err != nil {
		return nil, err
	}
	k.adopt(news)
	return nil, nil
}

// syncParams names the versions that the asking host has.
type syncParams struct {
	Version platform.Version `json:"version"`
	HostsAt platform.Version `json:"hosts_at"`
}

// syncResult holds the parts of which the answering host has newer versions.
type syncResult struct {
	Ledger *state `json:"ledger,omitempty"`
}

func (k *keeper) handleSync(_ context.Context, _ peer.ID, params json.RawMessage) (any, error) {
	var p syncParams
	if err := decode(params, &p); err != nil {
		return nil, err
	}
	s := k.snapshot()
	if s.Version <= p.Version {
		s.Ledger, s.Version = quota.Ledger{}, 0
	}
	if s.HostsAt <= p.HostsAt {
		s.Listed, s.HostsAt = nil, 0
	}
	if s.Version == 0 && s.HostsAt == 0 {
		return syncResult{}, nil
	}
	return syncResult{Ledger: &s}, nil
}

func (k *keeper) sync(ctx context.Context, host string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	known := k.snapshot()
	var r syncResult
	p := syncParams{Version: known.Version, HostsAt: known.HostsAt}
	if err := k.x.opts.Caller.Call(ctx, host, methodSync, p, &r); err != nil {
		k.x.metrics.callsFailed.Inc(1)
		return false
	}
	if r.Ledger != nil {
		k.adopt(*r.Ledger)
	}
	return true
}
