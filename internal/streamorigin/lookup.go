package streamorigin

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Numbers of hosts per stream.
const (
	copies     = 2 // hosts that a record is sent to
	askedHosts = 4 // hosts that are asked for it; more than copies, as lists of hosts differ for a moment
)

// lookupTimeout is how long other hosts may take to reply. It is a few hundred times the network delay.
const lookupTimeout = 300 * time.Millisecond

// rank returns the first n of the hosts, without the one called except, in the order in which they keep a
// stream's record: rendezvous hashing. Hosts that know the same other hosts agree on it.
func rank(key streamKey, hosts []string, except string, n int) []string {
	type scored struct {
		host  string
		score uint64
	}
	best := make([]scored, 0, n+1)
	for _, host := range hosts {
		if host == except {
			continue
		}
		s := scored{host, mix(xxhash.Sum64String(host) ^ uint64(key))}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host, b.host))
		})
		if at < n {
			best = slices.Insert(best, at, s)
			best = best[:min(n, len(best))]
		}
	}
	out := make([]string, len(best))
	for i, s := range best {
		out[i] = s.host
	}
	return out
}

// mix is the finalizer of MurmurHash3. It makes scores of the same host for different keys independent.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

type lookupRequest struct {
	Key     streamKey `json:"k"`
	Service string    `json:"s"`
}

// lookupReply tells what a host knows of a stream.
type lookupReply struct {
	Known    bool     `json:"k,omitempty"`
	Version  string   `json:"v,omitempty"`
	Versions []string `json:"a,omitempty"` // recent versions of the service
}

// UnknownVersionError reports a stream of which no reachable host knows the version, while its service has or
// lately had several.
type UnknownVersionError struct {
	Attempt  string
	Versions []string
}

func (e *UnknownVersionError) Error() string {
	return "software version that began the stream of attempt " + e.Attempt + " is unknown"
}

// Lookup returns the version that began a stream. attempt is the one that brought its first event; it may be
// empty if that is not known. It fails with *UnknownVersionError.
func (r *Registry) Lookup(ctx context.Context, service, attempt string) (string, error) {
	req := lookupRequest{Key: keyOf(attempt), Service: service}
	local := r.localLookup(req)
	if local.Known {
		return local.Version, nil
	}
	versions := local.Versions
	if len(versions) != 1 || r.opts.Now()-r.startedAt < retention {
		replies := r.ask(ctx, req)
		for _, reply := range replies {
			if reply.Known {
				r.store([]record{{Key: req.Key, Service: service, Version: reply.Version}})
				return reply.Version, nil
			}
			versions = append(versions, reply.Versions...)
		}
		slices.Sort(versions)
		versions = slices.Compact(versions)
	}
	if len(versions) == 1 {
		return versions[0], nil
	}
	return "", &UnknownVersionError{Attempt: attempt, Versions: versions}
}

func (r *Registry) localLookup(req lookupRequest) lookupReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe()
	rec, ok := r.records.get(req.Key, r.opts.Now())
	return lookupReply{Known: ok && rec.Service == req.Service, Version: rec.Version, Versions: r.history.of(req.Service, r.opts.Now())}
}

// ask asks the hosts that may have a stream's record. It returns when one of them knows it, when all have
// replied or failed, or after lookupTimeout.
func (r *Registry) ask(ctx context.Context, req lookupRequest) []lookupReply {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	hosts := rank(req.Key, r.opts.Hosts(), r.opts.Self, askedHosts)
	results := make(chan lookupReply, len(hosts))
	for _, host := range hosts {
		go func() {
			var reply lookupReply
			if err := r.opts.Calls.Call(ctx, host, methodLookup, req, &reply); err != nil {
				reply = lookupReply{} // a host that does not reply knows nothing
			}
			results <- reply
		}()
	}
	var out []lookupReply
	for range hosts {
		reply := <-results // each call ends with ctx at the latest
		out = append(out, reply)
		if reply.Known {
			break
		}
	}
	return out
}
