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

// rank returns the hosts in the order in which they keep a stream's record. It is the same at all hosts that
// know the same hosts.
func rank(key streamKey, hosts []string) []string {
	type scored struct {
		host  string
		score uint64
	}
	all := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		d := xxhash.NewWithSeed(uint64(key))
		_, _ = d.WriteString(h) // never fails
		all = append(all, scored{h, d.Sum64()})
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host, b.host)) })
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.host
	}
	return out
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
	hosts := slices.DeleteFunc(rank(req.Key, r.opts.Hosts()), func(h string) bool { return h == r.opts.Self })
	hosts = hosts[:min(askedHosts, len(hosts))]
	results := make(chan lookupReply, len(hosts))
	for _, host := range hosts {
		go func() {
			var reply lookupReply
			if err := r.opts.Calls.Call(ctx, host, methodLookup, req, &reply); err != nil {
				reply = lookupReply{}
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
