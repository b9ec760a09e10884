package steer

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/peer"
)

// ClientOptions configure a link.
type ClientOptions struct {
	Self        fleet.Host
	Board       *FleetView
	Owner       *Owner
	Coordinator *Coordinator // this host's, which works if others report to it
	Calls       peer.Caller
	Use         func() map[string]float64                  // of this host by team since its start
	OnUse       func(epoch uint64, use map[string]float64) // use of all other hosts, where it changed
	Now         func() time.Duration
	Log         logrus.FieldLogger
}

// Client reports to the coordinator and takes in its news.
type Client struct {
	opts ClientOptions
	kick chan struct{}

	mu        sync.Mutex
	avoid     map[string]time.Duration // hosts that did not answer, since when
	current   string                   // coordinator of the last report
	full      bool
	sentUse   map[string]float64
	sentOwned map[string]EngineView
	live      []string
	liveAt    time.Duration // last answer of a coordinator
	strikes   map[string]time.Duration
	count     map[string]int
	pending   []string // strikes to report
	leaving   bool
	vouched   Vouched
	began     time.Duration
}

// Vouched is what the coordinator vouches for, on this host's clock.
type Vouched struct {
	Config    uint64        // store revision of the configuration
	ConfigAt  time.Duration // it was known to be in force then
	TargetsAt time.Duration // the list of targets was known to be complete then
}

// StoreFreshness returns what coordinators vouched for. It stays true when another host
// coordinates.
func (l *Client) StoreFreshness() Vouched {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vouched
}

// CoordinatorIsRemote reports whether another host coordinates, so that this one need not
// see for itself.
func (l *Client) CoordinatorIsRemote() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current != "" && l.current != l.opts.Self.Name
}

// NewClient returns a link that does nothing before Run.
func NewClient(opts ClientOptions) *Client {
	l := &Client{
		opts: opts, began: opts.Now(), kick: make(chan struct{}, 1), avoid: map[string]time.Duration{}, full: true,
		sentUse: map[string]float64{}, sentOwned: map[string]EngineView{}, strikes: map[string]time.Duration{}, count: map[string]int{},
	}
	opts.Board.kick = l.wake
	opts.Owner.changed = l.wake
	return l
}

// Register registers the method by which news come.
func (l *Client) Register(r peer.Registrar) {
	r.Handle(methodNews, func(_ context.Context, _ peer.ID, params json.RawMessage) (any, error) {
		var n News
		if err := json.Unmarshal(params, &n); err != nil {
			return nil, err
		}
		l.take(n)
		return struct{}{}, nil
	})
	r.Handle(methodPing, func(context.Context, peer.ID, json.RawMessage) (any, error) { return struct{}{}, nil })
}

func (l *Client) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// Leave tells the coordinator that this host takes no more callers.
func (l *Client) Leave() {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	l.wake()
}

// LiveHosts returns the hosts that report to the coordinator, as last told, and
// whether that is recent.
func (l *Client) LiveHosts() ([]string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.live, l.opts.Now()-l.liveAt < hostSilent && len(l.live) > 0
}

// ReportEngineFailure reports a request that was under way when its engine broke off.
func (l *Client) ReportEngineFailure(print string) {
	l.mu.Lock()
	l.pending = append(l.pending, print)
	l.mu.Unlock()
	l.wake()
}

// EngineFailures returns how many engines broke off under requests like this one, as
// far as known here.
func (l *Client) EngineFailures(print string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count[print]
}

// Run reports until ctx ends.
func (l *Client) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.kick:
			time.Sleep(reportSoon)
		case <-timer.C:
		}
		l.report(ctx)
		timer.Reset(reportInterval)
	}
}

// joinPatience is how long a host that started waits for others on the list of
// hosts before it coordinates by itself.
const joinPatience = 2500 * time.Millisecond // two calls to a slow store and a poll

// coordinator returns the host to report to: of those that answer the one with
// the most processor time, and of these the one whose entry is the oldest, so
// that a restart of all leads to the same one again. A host that has just
// started and knows no other has none.
func (l *Client) coordinator() string {
	hosts := l.opts.Board.Hosts()
	if len(hosts) <= 1 && l.opts.Now()-l.began < joinPatience {
		return ""
	}
	names := make([]string, 0, len(hosts))
	for name := range hosts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(hosts[b].Weight, hosts[a].Weight), cmp.Compare(hosts[a].CreateRevision, hosts[b].CreateRevision), cmp.Compare(a, b))
	})
	for _, name := range names {
		if _, avoided := l.avoid[name]; name == l.opts.Self.Name || !avoided {
			return name
		}
	}
	return l.opts.Self.Name
}

// RunProbes asks the hosts that did not answer whether they do again, so that
// no report has to wait for one that does not. It returns when ctx ends.
func (l *Client) RunProbes(ctx context.Context) error {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		for _, name := range l.avoided() {
			go l.probe(ctx, name)
		}
	}
}

// avoided returns the hosts to probe, and forgets those that are no members.
func (l *Client) avoided() []string {
	hosts := l.opts.Board.Hosts()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for name, since := range l.avoid {
		if _, member := hosts[name]; !member {
			delete(l.avoid, name)
		} else if l.opts.Now()-since >= avoidFor {
			out = append(out, name)
		}
	}
	return out
}

func (l *Client) probe(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if l.opts.Calls.Call(ctx, name, methodPing, struct{}{}, nil) != nil {
		return // still lost, as was logged when it was
	}
	l.mu.Lock()
	delete(l.avoid, name)
	l.mu.Unlock()
	l.opts.Log.WithFields(logrus.Fields{"event": "peer_regained", "peer": name}).Info("host answers again")
}

func (l *Client) report(ctx context.Context) {
	l.mu.Lock()
	to := l.coordinator()
	if to == "" {
		l.mu.Unlock()
		return
	}
	if to != l.current {
		l.opts.Log.WithFields(logrus.Fields{"event": "coordinator_changed", "from": l.current, "to": to}).Info("reports go to another host")
		l.current, l.full = to, true
	}
	r := l.fill()
	l.mu.Unlock()

	var n News
	var err error
	began := l.opts.Now()
	if to == l.opts.Self.Name {
		n = l.opts.Coordinator.Report(to, r)
	} else {
		call, cancel := context.WithTimeout(ctx, reportTimeout)
		err = l.opts.Calls.Call(call, to, methodReport, r, &n)
		cancel()
	}
	if err != nil {
		l.mu.Lock()
		l.avoid[to] = l.opts.Now()
		l.full = true
		l.pending = append(l.pending, r.Strikes...)
		l.mu.Unlock()
		l.opts.Log.WithFields(logrus.Fields{"event": "coordinator_lost", "peer": to}).Warn(err.Error())
		l.wake()
		return
	}
	l.take(n)
	if n.Vouch != nil {
		l.takeVouch(*n.Vouch, began)
	}
	l.mu.Lock()
	l.full = n.Unknown
	l.liveAt = l.opts.Now()
	l.mu.Unlock()
	if n.Unknown {
		l.wake()
	}
}

// takeVouch takes in what the coordinator vouches for in answer to a report
// begun then: at that time it was no older than it says.
func (l *Client) takeVouch(v Vouch, began time.Duration) {
	l.opts.Board.SetUnusable(v.Unusable)
	l.mu.Lock()
	defer l.mu.Unlock()
	configAt := began - time.Duration(v.ConfigAgeMS)*time.Millisecond
	targetsAt := began - time.Duration(v.TargetAgeMS)*time.Millisecond
	if v.Config > l.vouched.Config {
		l.vouched.Config, l.vouched.ConfigAt = v.Config, configAt
	}
	if v.Config == l.vouched.Config {
		l.vouched.ConfigAt = max(l.vouched.ConfigAt, configAt) // a coordinator that has just become one knows less
	}
	l.vouched.TargetsAt = max(l.vouched.TargetsAt, targetsAt)
}

// fill makes the next report. Call with l.mu held.
func (l *Client) fill() Report {
	r := Report{Incarnation: l.opts.Self.Incarnation, Full: l.full, Strikes: l.pending, Leaving: l.leaving}
	l.pending = nil
	if l.full {
		clear(l.sentUse)
		clear(l.sentOwned)
	}
	l.opts.Board.report(&r)
	for team, n := range l.opts.Use() {
		if l.sentUse[team] != n {
			if r.Use == nil {
				r.Use = map[string]float64{}
			}
			r.Use[team], l.sentUse[team] = n, n
		}
	}
	owned := l.opts.Owner.Owned()
	seen := map[string]bool{}
	for _, v := range owned {
		seen[v.ID] = true
		if old, ok := l.sentOwned[v.ID]; !ok || !sameView(old, v) {
			r.Owned = append(r.Owned, v)
			l.sentOwned[v.ID] = v
		}
	}
	for id := range l.sentOwned {
		if !seen[id] {
			r.Owned = append(r.Owned, EngineView{ID: id}) // not owned any more
			delete(l.sentOwned, id)
		}
	}
	return r
}

// take takes in news.
func (l *Client) take(n News) {
	l.opts.Board.SetCrowds(n.Crowds) // before what they wait for
	if len(n.Engines) > 0 {
		l.opts.Board.Tell(l.opts.Self.Name, n.Engines...)
	}
	if len(n.Load) > 0 {
		l.opts.Board.SetRemote(n.Load)
	}
	if len(n.Use) > 0 {
		l.opts.OnUse(n.UseEpoch, n.Use)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if n.Live != nil {
		l.live = n.Live
	}
	for _, s := range n.Strikes {
		if _, known := l.strikes[s]; !known {
			l.strikes[s] = l.opts.Now()
			l.count[printOf(s)]++
		}
	}
	for s, at := range l.strikes {
		if l.opts.Now()-at > strikeMemory {
			delete(l.strikes, s)
			if l.count[printOf(s)]--; l.count[printOf(s)] <= 0 {
				delete(l.count, printOf(s))
			}
		}
	}
}

// A strike is written PRINT@ATTEMPT, so that the same one reported twice
// counts once.
const strikeSeparator = '@'

func printOf(strike string) string {
	for i := range strike {
		if strike[i] == strikeSeparator {
			return strike[:i]
		}
	}
	return strike
}

// EngineFailureID returns the strike of an attempt with a request's fingerprint.
func EngineFailureID(print, attempt string) string { return print + string(strikeSeparator) + attempt }

// Coordinator returns the host that the last report went to.
func (l *Client) Coordinator() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}
