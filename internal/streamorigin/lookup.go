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

// recallTimeout is how long the store may take to reply. It is a hundred times its usual time.
const recallTimeout = 500 * time.Millisecond

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
	// Watched is set if Versions has all versions of the last retention; builds before it leave it out.
	Watched bool `json:"w,omitempty"`
}

// UnknownVersionError reports a stream of which no reachable host knows the version, while its service has or
// lately had several, or while this host cannot tell whether it had.
type UnknownVersionError struct {
	Attempt  string
	Versions []string // that the service is known to have had lately
}

func (e *UnknownVersionError) Error() string {
	return "software version that began the stream of attempt " + e.Attempt + " is unknown"
}

// maxTargetsAge is the age up to which this host's list of targets rules out a version that is not on it. It is
// a few intervals at which a host hears from the coordinator, and shorter than a target is listed after a crash.
const maxTargetsAge = 3 * time.Second

// Lookup returns the version that began a stream. attempt is the one that brought its first event; it may be
// empty if that is not known. It fails with *UnknownVersionError.
//
// Other hosts are asked even if this one knows a single version: its list of targets may be seconds behind that
// of the host that began the stream.
func (r *Registry) Lookup(ctx context.Context, service, attempt string) (string, error) {
	req := lookupRequest{Key: keyOf(attempt), Service: service}
	if local, _ := r.localLookup(req); local.Known {
		return local.Version, nil
	}
	replies, complete := r.ask(ctx, req)
	local, currentAt := r.localLookup(req) // not the one before: the list of targets may have changed
	versions, watched := local.Versions, local.Watched
	for _, reply := range replies {
		if reply.Known {
			r.store([]record{{Key: req.Key, Service: service, Version: reply.Version}})
			return reply.Version, nil
		}
		versions, watched = append(versions, reply.Versions...), watched || reply.Watched
	}
	current := complete || r.opts.Now()-currentAt < maxTargetsAge
	if version, ok := singleVersion(versions); ok && watched && current {
		return version, nil
	}
	return r.lookupStored(ctx, req, attempt, versions, current)
}

// lookupStored looks in the store for a stream that no running host knows. versions are those that hosts know, and
// current tells whether they include the newest.
func (r *Registry) lookupStored(ctx context.Context, req lookupRequest, attempt string, versions []string, current bool) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	maxAge := writesPerRead * r.storeInterval()
	if _, ok := singleVersion(versions); ok {
		maxAge = retention // the first read after the start tells what went before
	}
	err := r.recall(ctx, maxAge)
	if err != nil {
		r.opts.Log.WithField("event", "stream_origins_not_read").Warn(err.Error())
	}
	local, _ := r.localLookup(req)
	if local.Known {
		return local.Version, nil
	}
	versions = append(versions, local.Versions...)
	if version, ok := singleVersion(versions); ok && current && err == nil {
		return version, nil
	}
	slices.Sort(versions)
	return "", &UnknownVersionError{Attempt: attempt, Versions: slices.Compact(versions)}
}

// singleVersion returns the version that all entries name. It returns false if there are several, or none.
func singleVersion(versions []string) (string, bool) {
	for _, v := range versions {
		if v != versions[0] {
			return "", false
		}
	}
	if len(versions) == 0 {
		return "", false
	}
	return versions[0], true
}

// localLookup returns what this host knows of a stream, and when its list of targets was last known to be the newest.
func (r *Registry) localLookup(req lookupRequest) (reply lookupReply, currentAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	currentAt = r.observe()
	now := r.opts.Now()
	rec, ok := r.records.get(req.Key, now)
	return lookupReply{
		Known: ok && rec.Service == req.Service, Version: rec.Version,
		Versions: r.history.of(req.Service, now), Watched: now-r.startedAt >= retention,
	}, currentAt
}

// ask asks the hosts that may have a stream's record. It returns when one of them knows it, when all have
// replied or failed, or after lookupTimeout. complete reports whether every one of them has replied.
func (r *Registry) ask(ctx context.Context, req lookupRequest) (replies []lookupReply, complete bool) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	known := r.opts.Hosts()
	hosts := rank(req.Key, known, r.opts.Self, askedHosts)
	results := make(chan *lookupReply, len(hosts))
	for _, host := range hosts {
		go func() {
			var reply lookupReply
			if err := r.opts.Calls.Call(ctx, host, methodLookup, req, &reply); err != nil {
				results <- nil
				return
			}
			results <- &reply
		}()
	}
	for range hosts {
		reply := <-results // each call ends with ctx at the latest
		if reply == nil {
			continue
		}
		replies = append(replies, *reply)
		if reply.Known {
			break
		}
	}
	return replies, len(replies) == len(hosts) && len(known) > 0
}
