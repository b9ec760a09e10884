package coordinator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/permit"
	"buckthornseam.dev/seam/internal/fleet"
)

// coldTargets is what this host knows of targets that are cold. It is guarded by FleetView.mu.
type coldTargets struct {
	known       *permit.Cold
	revisions   map[string]uint64        // by start of a target that was registered as cold, of its last registration
	listedSince map[string]time.Duration // by start of a target
	logged      map[string]bool          // services whose missing or invalid rate was logged
	hostsListed bool                     // the list of hosts is known
	// evacuationEnded returns when the last evacuation of a zone ended, if one did. It is called with FleetView.mu held.
	evacuationEnded func(zone string) (at time.Duration, ok bool)
}

func newColdTargets() coldTargets {
	return coldTargets{
		known: permit.NewCold(), revisions: map[string]uint64{}, listedSince: map[string]time.Duration{}, logged: map[string]bool{},
		evacuationEnded: func(string) (time.Duration, bool) { return 0, false },
	}
}

// SetOwnHost makes this host the only known one until the list of hosts is known.
func (f *FleetView) SetOwnHost(h fleet.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = map[string]fleet.Host{h.Name: h}
}

// listedHosts returns the known hosts, or none before the list of hosts is known.
func (f *FleetView) listedHosts() map[string]fleet.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cold.hostsListed {
		return nil
	}
	return f.hosts
}

// recordRegistrations records the targets that are registered as cold, each registration once: its age is unknown, so that
// the time left that it states counts from when it is read. The caller must hold f.mu.
func (f *FleetView) recordRegistrations(listed *fleet.Targets) {
	source := permit.FromTarget
	if len(f.listed.ByID) == 0 {
		source = permit.FromFirstList
	}
	tell, runs := false, map[string]bool{}
	for _, t := range listed.ByID {
		run := runOf(t)
		runs[run] = true
		if _, known := f.cold.listedSince[run]; !known {
			f.cold.listedSince[run] = f.now()
		}
		if t.WarmupLeft <= 0 {
			continue
		}
		if revision, known := f.cold.revisions[run]; known && revision == t.Revision {
			continue
		}
		f.cold.revisions[run] = t.Revision
		tell = f.cold.known.Observe(f.now(), run, t.WarmupLeft, source) || tell
	}
	for run := range f.cold.listedSince {
		if !runs[run] {
			delete(f.cold.listedSince, run)
			delete(f.cold.revisions, run)
		}
	}
	if tell {
		f.requestReport()
	}
}

// recordCold records that a target stated in a response how long it stays cold.
func (f *FleetView) recordCold(t fleet.Target, left time.Duration) {
	f.mu.Lock()
	tell := f.cold.known.Observe(f.now(), runOf(t), left, permit.FromTarget)
	f.mu.Unlock()
	if tell {
		f.requestReport()
	}
}

// coldChanges returns the cold targets of which a receiver has not been told.
func (f *FleetView) coldChanges(sent uint64, to permit.Direction) ([]permit.ColdRecord, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cold.known.Changes(f.now(), sent, to)
}

// mergeCold records what another host tells.
func (f *FleetView) mergeCold(records []permit.ColdRecord, source permit.Source) {
	if len(records) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.known.Merge(f.now(), records, source)
}

// coldLeft returns how long a target stays cold; 0: it is warm. The caller must hold f.mu.
func (f *FleetView) coldLeft(t fleet.Target) time.Duration {
	now := f.now()
	if spec := f.config.Services[t.Service].Cold; spec != nil {
		if at, ok := f.cold.evacuationEnded(t.Zone); ok && now < at+spec.Time && f.cold.listedSince[runOf(t)] <= at {
			f.cold.known.Observe(now, runOf(t), at+spec.Time-now, permit.FromTarget)
		}
	}
	if !f.cold.known.Any() {
		return 0
	}
	return f.cold.known.Left(now, runOf(t))
}

// coldRate returns how many requests a second a target takes while it is cold, and whether it is limited now: it is cold, and
// its service has a rate. The caller must hold f.mu.
func (f *FleetView) coldRate(t fleet.Target) (rate float64, limited bool) {
	if f.coldLeft(t) <= 0 {
		return 0, false
	}
	return f.coldRateOf(t.Service)
}

// coldRateOf returns the rate of the cold targets of a service, and whether they are limited: without a rate they are not. With
// an invalid rate they get nothing. The caller must hold f.mu.
func (f *FleetView) coldRateOf(service string) (rate float64, limited bool) {
	spec := f.config.Services[service].Cold
	if spec != nil && spec.Rate > 0 {
		return spec.Rate, true
	}
	if !f.cold.logged[service] {
		f.cold.logged[service] = true
		message := "a target is cold, but its service has no cold_per_s; its requests are not limited"
		if spec != nil {
			message = "a target is cold, and cold_per_s of its service is not above 0; it is sent nothing until it is warm"
		}
		f.logNotice("cold_rate_invalid", logrus.Fields{"service": service}, message)
	}
	return 0, spec != nil
}

// coldRateOfRun returns the rate of a target for which a host asks for a permit, and whether it is limited now: the host says
// that it is cold, or this one knows.
func (f *FleetView) coldRateOfRun(run, service string, saidCold bool) (rate float64, limited bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if saidCold {
		return f.coldRateOf(service)
	}
	t, ok := f.targets.ByID[targetOfRun(run)]
	if !ok || runOf(t) != run {
		return 0, false
	}
	return f.coldRate(t)
}

// leastPlannedRate stands for no requests at all in the planner, where 0 is any number.
const leastPlannedRate = 0.01

// plannerLimit returns the limit of requests a second at an engine, for the planner; 0: none.
func (f *FleetView) plannerLimit(t fleet.Target) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	named, _ := f.limits.Rate(f.now(), runOf(t))
	rate, cold := f.coldRate(t)
	switch {
	case !cold:
		return named
	case named > 0:
		rate = min(rate, named)
	}
	return max(rate, leastPlannedRate)
}

// warmingPenalty is what is added to the score of a target that has just become warm, and falls to 0 in a third of
// permit.WarmingTime. It brings half of the requests that others get at first.
const warmingPenalty = 0.7 * choiceSpread

// lowWarmLoad returns the load a quarter of the way from the least to the mean of the warm targets that could take a request, if some
// target that could take it has just become warm, and whether one has. As counts of other hosts are old, loads differ widely: nearly all requests go to
// targets below the mean, and the least loaded one gets several times its share. The caller must hold f.mu.
func (f *FleetView) lowWarmLoad(req Requirements) (low float64, warming bool) {
	if !f.cold.known.AnyWarming(f.now()) {
		return 0, false
	}
	n, sum, least := 0, 0, math.MaxInt
	for _, id := range f.targets.ByService[req.Service] {
		t := f.targets.ByID[id]
		if t.Draining || t.Missing || req.Model != "" && !f.holds(t, req.Model) || f.coldLeft(t) > 0 {
			continue
		}
		if f.cold.known.Warming(f.now(), runOf(t)) > 0 {
			warming = true
			continue
		}
		load := f.load[id] + f.remoteLoad[id]
		n, sum, least = n+1, sum+load, min(least, load)
	}
	if n == 0 || !warming {
		return 0, warming
	}
	return 0.75*float64(least) + 0.25*float64(sum)/float64(n), true
}

// warmingScore returns what is added to the score of a target that has become warm a short time ago: all hosts see that it has
// no load, and would send it what is due next. It counts as having a low load of others, and a little more at first. The caller must
// hold f.mu.
func (f *FleetView) warmingScore(t fleet.Target, lowLoad float64) float64 {
	left := f.cold.known.Warming(f.now(), runOf(t))
	if left == 0 {
		return 0
	}
	missing := max(0, lowLoad-float64(f.load[t.ID]+f.remoteLoad[t.ID]))
	return missing*left + warmingPenalty*max(0, 3*left-2)
}

// fullMargin is the part of its slots below which a target counts as full while a cold one can take a request: counts of
// other hosts are old, and a request that a full target turns away uses up the retry budget.
const fullMargin = 0.25

// nearlyFull reports whether a target has few free slots. The caller must hold f.mu.
func (f *FleetView) nearlyFull(t fleet.Target) bool {
	return t.Slots > 0 && float64(f.freeSlots(t, false)) <= fullMargin*float64(t.Slots)
}

// addOther adds a target to at most maxOthers+1 that were drawn from those added before.
func addOther(drawn []fleet.Target, t fleet.Target) []fleet.Target {
	if len(drawn) <= maxOthers {
		return append(drawn, t)
	}
	drawn[rand.IntN(len(drawn))] = t
	return drawn
}

// addOthers adds the other targets for which a permit is as good, if the chosen one is cold.
func (c *Choice) addOthers(drawn []fleet.Target) {
	if !c.Cold {
		return
	}
	drawn = slices.DeleteFunc(drawn, func(t fleet.Target) bool { return t.ID == c.Target.ID })
	c.OtherCold = drawn[:min(len(drawn), maxOthers)]
}

// MaySend reports whether a request may be sent to the chosen target now: if the target names a limit or is cold, a permit for it is
// still good.
func (f *FleetView) MaySend(c Choice) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, cold := f.coldRate(c.Target); cold || c.NeedsPermit {
		return f.now() < c.PermitUntil
	}
	return true
}

// Load returns the known number of requests of all hosts at a target.
func (f *FleetView) Load(target string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.load[target] + f.remoteLoad[target]
}

// ColdWait is when requests can be sent to a service whose targets are all cold.
type ColdWait struct {
	Possible time.Duration // before then none can
	Likely   time.Duration
}

// ColdWait returns when a request can be sent to the first target of its service, if all of them are cold. ok is false if
// one is warm or none is left.
func (f *FleetView) ColdWait(req Requirements) (w ColdWait, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w = ColdWait{math.MaxInt64, math.MaxInt64}
	for _, id := range f.targets.ByService[req.Service] {
		t := f.targets.ByID[id]
		if t.Draining || t.Missing || f.now() < f.unusableUntil[id] {
			continue
		}
		rate, cold := f.coldRate(t)
		if !cold || req.Avoid[id] {
			return ColdWait{}, false
		}
		warm := f.now() + f.coldLeft(t)
		ok = true
		d, denied := f.noPermit[id].of(f.now(), req.Urgency.level())
		switch {
		case rate <= 0 || denied && d.cause == permit.NoPart:
			w = ColdWait{min(w.Possible, warm), min(w.Likely, warm)}
		case denied:
			w = ColdWait{min(w.Possible, warm, d.possible), min(w.Likely, warm, d.likely)}
		default:
			return ColdWait{}, false
		}
	}
	return w, ok
}

// takeColdChanges returns the targets that have become cold or warm.
func (f *FleetView) takeColdChanges() []permit.ColdChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cold.known.TakeChanges(f.now())
}

// coldSources are the names of sources in log lines.
var coldSources = map[permit.Source]string{
	permit.FromTarget: "target", permit.FromFirstList: "first_list", permit.FromHost: "host", permit.FromCoordinator: "coordinator",
}

// logCold logs the targets that have become cold or warm since the last report.
func (c *Client) logCold() {
	for _, change := range c.opts.FleetView.takeColdChanges() {
		t, _ := c.opts.FleetView.Target(targetOfRun(change.Target)) // the zero target if it is not listed any more
		log := c.opts.Log.WithFields(logrus.Fields{"target": change.Target, "service": t.Service, "zone": t.Zone})
		if change.Left > 0 {
			log.WithFields(logrus.Fields{"event": "target_cold", "cold_ms": change.Left.Milliseconds(), "source": coldSources[change.Source]}).Info("a target is cold and takes few requests")
		} else {
			log.WithFields(logrus.Fields{"event": "target_warm", "cold_for_ms": change.Lasted.Milliseconds()}).Info("a target is warm again")
		}
	}
}
