// Package longprompt keeps long prompts from delaying short ones on the same engine: it tells which prompts are long, in which
// order the copies of a model take them, and by how much other requests avoid these copies. It is a core without I/O.
package longprompt

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of long prompts.
const (
	// longShare is the part of the objective of short requests from which on a prefill is long: one that comes just before a short
	// request then takes a quarter of its time.
	longShare = 4
	// readerLoad is the share of its time that an engine spends on long prefills from which on other copies help.
	readerLoad = 0.5
)

// Penalties, in concurrent requests.
const (
	shortPenalty = 60.0 // of an engine for short requests, per share of its time that long prefills take
	maxPenalty   = 12.0 // the slots of small engines
	orderPenalty = 4.0  // for long requests, of each place in the order after the first
	busyPenalty  = 16.0 // for long requests, per share of time above readerLoad
)

// IsLong reports whether a prefill delays the short requests of a service. An objective of 0 is unknown: nothing is long then.
func IsLong(prefill, objective time.Duration) bool {
	return objective > 0 && prefill > objective/longShare
}

// Order sorts the copies of a model in the order in which they take long prompts. It is the same at all nodes and changes little
// when a copy comes or goes.
func Order(service, model string, copies []string) {
	weight := func(id string) uint64 { return xxhash.Sum64String(service + "\x00" + model + "\x00" + id) }
	slices.SortFunc(copies, func(a, b string) int { return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b)) })
}

// ShortPenalty returns the penalty for short requests of an engine that spends a share of its time on long prefills.
func ShortPenalty(load float64) float64 {
	return min(maxPenalty, shortPenalty*max(0, load))
}

// LongPenalty returns the penalty for long requests of the copy at a place in the order, whose engine spends a share of its time on
// long prefills.
func LongPenalty(place int, load float64) float64 {
	return min(maxPenalty, orderPenalty*float64(place)) + min(maxPenalty, busyPenalty*max(0, load-readerLoad))
}

// Times of what is learned.
const (
	partTTL     = 30 * time.Second // for which a shared part counts as cached at the engine that prefilled it
	loadWindow  = 4 * time.Second  // of the arrivals of long prefills
	minLearned  = 1000             // tokens of a prefill from which the speed is learned: shorter ones are mostly overhead
	defaultRate = 40.0             // tokens per millisecond of engines that are not known yet
	fasterShare = 0.5              // weight of a prefill that was faster than known: it had to wait less
	slowerShare = 0.02             // weight of a slower one
	maxParts    = 4096             // that are remembered
)

// Speeds are learned prefill speeds. They are not safe for concurrent use.
type Speeds struct {
	perToken   map[string]float64 // milliseconds, by engine
	perService map[string]float64
	parts      map[partKey]time.Duration
}

type partKey struct{ engine, part string }

// NewSpeeds returns speeds of which none is known.
func NewSpeeds() *Speeds {
	return &Speeds{perToken: map[string]float64{}, perService: map[string]float64{}, parts: map[partKey]time.Duration{}}
}

// Learn records the time until the first event of a request with the given number of tokens that had to be prefilled.
func (s *Speeds) Learn(engine, service string, tokens int, took time.Duration) {
	if tokens < minLearned || took <= 0 {
		return
	}
	each := took.Seconds() * 1000 / float64(tokens)
	s.perToken[engine] = learned(s.perToken, engine, each)
	s.perService[service] = learned(s.perService, service, each)
}

func learned(of map[string]float64, key string, each float64) float64 {
	known, ok := of[key]
	switch {
	case !ok:
		return each
	case each < known:
		return known + (each-known)*fasterShare
	default:
		return known + (each-known)*slowerShare
	}
}

// Prefilled records that an engine has prefilled a shared part.
func (s *Speeds) Prefilled(now time.Duration, engine, part string) {
	if part == "" {
		return
	}
	if len(s.parts) >= maxParts {
		for k, at := range s.parts {
			if now-at > partTTL || len(s.parts) >= maxParts {
				delete(s.parts, k)
			}
		}
	}
	s.parts[partKey{engine, part}] = now
}

// Tokens returns how many tokens of a prompt an engine has to prefill.
func (s *Speeds) Tokens(now time.Duration, engine string, prompt, shared int, part string) int {
	if at, ok := s.parts[partKey{engine, part}]; ok && part != "" && now-at <= partTTL {
		return max(0, prompt-shared)
	}
	return prompt
}

// Prefill returns the expected time in which an engine of a service prefills tokens. If the engine is not known, the fastest ones of
// the service count.
func (s *Speeds) Prefill(engine, service string, tokens int) time.Duration {
	each, ok := s.perToken[engine]
	if !ok {
		each, ok = s.perService[service]
	}
	if !ok {
		each = 1 / defaultRate
	}
	return time.Duration(each * float64(tokens) * float64(time.Millisecond))
}

// Forget removes engines for which listed returns false.
func (s *Speeds) Forget(listed func(engine string) bool) {
	for engine := range s.perToken {
		if !listed(engine) {
			delete(s.perToken, engine)
		}
	}
}

// Load is the share of an engine's time that long prefills take, as a moving average.
type Load struct {
	share float64
	at    time.Duration
}

// NewLoad returns a load with a value.
func NewLoad(now time.Duration, share float64) *Load { return &Load{share: share, at: now} }

// Add records a long prefill that has arrived.
func (l *Load) Add(now, prefill time.Duration) {
	l.share = l.Share(now) + prefill.Seconds()/loadWindow.Seconds()
	l.at = now
}

// Share returns the current value; 0 for nil.
func (l *Load) Share(now time.Duration) float64 {
	if l == nil {
		return 0
	}
	return l.share * math.Exp(-(now-l.at).Seconds()/loadWindow.Seconds())
}
