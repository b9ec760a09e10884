// Package keyauth maps a caller's key to its team. It hashes a presented key at once
// and never stores the key itself; the configuration holds only hashes.
package keyauth

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/serve"
)

// staleRetryAfter is the delay after which a caller should retry, at another host,
// while this host cannot confirm which keys are in force.
const staleRetryAfter = 2 * time.Second

// Configuration is the configuration in force. *config.Store implements it.
type Configuration interface {
	// InForce returns the configuration and whether it was confirmed recently, so
	// that this host may act on it.
	InForce() (*config.Snapshot, bool)
}

// Options configure an Authenticator.
type Options struct {
	Config  Configuration
	Metrics tally.Scope
}

// Authenticator implements serve.Authenticator. It caches nothing: each call reads
// the current snapshot, so a withdrawn key is refused as soon as the snapshot is
// replaced.
type Authenticator struct {
	config Configuration
	stats  metrics
}

type metrics struct {
	admitted  tally.Counter
	missing   tally.Counter
	invalid   tally.Counter
	stale     tally.Counter
	withdrawn tally.Counter // keys withdrawn while their request waited
}

// New returns an authenticator.
func New(o Options) (*Authenticator, error) {
	s := o.Metrics.SubScope("auth")
	return &Authenticator{
		config: o.Config,
		stats: metrics{
			admitted:  s.Counter("admitted"),
			missing:   s.Counter("refused_missing_key"),
			invalid:   s.Counter("refused_invalid_key"),
			stale:     s.Counter("refused_stale"),
			withdrawn: s.Counter("ended_withdrawn"),
		},
	}, nil
}

// Authenticate implements serve.Authenticator.
func (a *Authenticator) Authenticate(presented string) (*config.Key, error) {
	if presented == "" {
		a.stats.missing.Inc(1)
		return nil, refusal.New(http.StatusUnauthorized, refusal.CodeMissingKey, "no key was given")
	}
	var sum [config.KeyHashLen]byte
	config.AppendKeyHash(sum[:0], presented)
	snapshot, accepting := a.config.InForce()
	if !accepting {
		return nil, a.refuseStale()
	}
	key := snapshot.Keys[string(sum[:])]
	if key == nil || snapshot.Teams[key.Team] == nil {
		a.stats.invalid.Inc(1)
		return nil, refusal.New(http.StatusUnauthorized, refusal.CodeInvalidKey, "the key is not in force")
	}
	invariant.Check(key.Hash == string(sum[:]), invariant.TeamOfKey, "lookup of a key hash returned the entry of another key")
	a.stats.admitted.Inc(1)
	return key, nil
}

// StillValid implements serve.Authenticator.
func (a *Authenticator) StillValid(hash string) error {
	snapshot, accepting := a.config.InForce()
	if !accepting {
		return a.refuseStale()
	}
	if snapshot.Keys[hash] == nil {
		a.stats.withdrawn.Inc(1)
		return refusal.New(http.StatusUnauthorized, refusal.CodeInvalidKey, "the key was withdrawn")
	}
	return nil
}

func (a *Authenticator) refuseStale() error {
	a.stats.stale.Inc(1)
	return refusal.New(http.StatusServiceUnavailable, refusal.CodeConfigurationStale,
		"this host cannot confirm which keys are in force; use another host").WithRetryAfter(staleRetryAfter)
}

// Interface check.
var _ serve.Authenticator = (*Authenticator)(nil)
