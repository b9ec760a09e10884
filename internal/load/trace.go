package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"
)

// Header is the first line of a trace: its name and the expected outcomes.
type Header struct {
	Trace    string   `json:"trace"`
	Version  int      `json:"version"`
	Outcomes Outcomes `json:"outcomes"`
}

// Outcomes are the bounds that a replay of a trace must meet. Latency bounds
// of zero are not checked, nor are the refusals of teams that RefusedShare does not
// name. Cut, wrong and lost responses are never allowed.
type Outcomes struct {
	FirstTokenP95MS float64            `json:"first_token_p95_ms,omitempty"` // over all teams
	WorstTeamP95MS  float64            `json:"worst_team_p95_ms,omitempty"`  // of the worst-served team
	RefusedShare    map[string]float64 `json:"refused_share,omitempty"`      // largest share of refused requests, by team
}

// traceVersion is the version of the trace format.
const traceVersion = 1

// TraceError reports a line of a trace that cannot be used.
type TraceError struct {
	Line   int
	Reason string
}

func (e *TraceError) Error() string { return fmt.Sprintf("trace line %d: %s", e.Line, e.Reason) }

// ReadTrace reads a trace in JSON lines: a Header, then the requests ordered by
// time.
func ReadTrace(in io.Reader) (Header, []Request, error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 1<<20)
	var h Header
	var out []Request
	for n := 1; lines.Scan(); n++ {
		if n == 1 {
			if err := json.Unmarshal(lines.Bytes(), &h); err != nil || h.Version != traceVersion {
				return Header{}, nil, &TraceError{Line: n, Reason: fmt.Sprintf("not a trace header of version %d", traceVersion)}
			}
			continue
		}
		var r Request
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return Header{}, nil, &TraceError{Line: n, Reason: err.Error()}
		}
		if (r.Model == "") == (r.Service == "") {
			return Header{}, nil, &TraceError{Line: n, Reason: "exactly one of model and service must be set"}
		}
		if len(out) > 0 && r.AtMS < out[len(out)-1].AtMS {
			return Header{}, nil, &TraceError{Line: n, Reason: "at_ms is less than in the line before"}
		}
		out = append(out, r)
	}
	if err := lines.Err(); err != nil {
		return Header{}, nil, &TraceError{Reason: err.Error()}
	}
	return h, out, nil
}

// WriteTrace writes a trace.
func WriteTrace(out io.Writer, h Header, requests []Request) error {
	enc := json.NewEncoder(out)
	h.Version = traceVersion
	if err := enc.Encode(h); err != nil {
		return err
	}
	for _, r := range requests {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// Deviation is an outcome that does not meet its expected bound.
type Deviation struct {
	Outcome string
	Want    string
	Got     string
}

// Compare returns the outcomes of a run that do not meet the expected bounds.
func (o Outcomes) Compare(s *Summary) []Deviation {
	var out []Deviation
	for _, c := range []Class{ClassCut, ClassWrong, ClassLost} {
		if n := s.Classes[c]; n > 0 {
			out = append(out, Deviation{Outcome: string(c) + " answers", Want: "0", Got: fmt.Sprint(n)})
		}
	}
	if o.FirstTokenP95MS > 0 && s.FirstToken.P95 > o.FirstTokenP95MS {
		out = append(out, Deviation{Outcome: "first token p95", Want: fmt.Sprintf("at most %.0f ms", o.FirstTokenP95MS), Got: fmt.Sprintf("%.0f ms", s.FirstToken.P95)})
	}
	if name, p95 := s.worstTeam(); o.WorstTeamP95MS > 0 && p95 > o.WorstTeamP95MS {
		out = append(out, Deviation{Outcome: "worst-served team " + name, Want: fmt.Sprintf("at most %.0f ms", o.WorstTeamP95MS), Got: fmt.Sprintf("%.0f ms", p95)})
	}
	for _, team := range sortedKeys(o.RefusedShare) {
		t := s.Teams[team]
		if t == nil {
			continue
		}
		share := float64(t.Classes[ClassRefused]) / float64(t.Sent)
		if limit := o.RefusedShare[team]; share > limit {
			out = append(out, Deviation{Outcome: "refused requests of " + team, Want: fmt.Sprintf("at most %.2f%%", 100*limit), Got: fmt.Sprintf("%.2f%%", 100*share)})
		}
	}
	return out
}

func (s *Summary) worstTeam() (name string, p95 float64) {
	for _, team := range sortedKeys(s.Teams) {
		if v := s.Teams[team].FirstToken.P95; v > p95 {
			name, p95 = team, v
		}
	}
	return name, p95
}

// Peak describes a sample trace with a peak of load in its middle third and with
// requests to models that are rarely used.
type Peak struct {
	Name             string
	Seconds          int
	Rate             float64   // requests a second outside the peak
	PeakFactor       float64   // factor on the rate during the peak
	LargestTeamShare float64   // share of the first team's requests during the peak
	Models           []Request // model requests to draw from
	Services         []Request // service requests to draw from
	ServiceShare     float64   // share of service requests
	Seed             uint64
	Outcomes         Outcomes
}

// GeneratePeak returns a sample trace. Models are drawn from a Zipf-like
// distribution, so that most are idle most of the time.
func GeneratePeak(p Peak) (Header, []Request) {
	rng := rand.New(rand.NewPCG(p.Seed, 5))
	byTeam := map[string][]Request{}
	var teams []string
	for _, r := range p.Models {
		if byTeam[r.Team] == nil {
			teams = append(teams, r.Team)
		}
		byTeam[r.Team] = append(byTeam[r.Team], r)
	}
	var out []Request
	end := float64(p.Seconds)
	for at := 0.0; at < end; {
		peak := at > end/3 && at < 2*end/3
		rate, large := p.Rate, 1/float64(len(teams))
		if peak {
			rate, large = p.Rate*p.PeakFactor, p.LargestTeamShare
		}
		at += rng.ExpFloat64() / rate
		team := teams[0]
		if len(teams) > 1 && rng.Float64() >= large {
			team = teams[1+rng.IntN(len(teams)-1)]
		}
		out = append(out, p.drawRequest(rng, byTeam[team], team, at, len(out)))
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].AtMS < out[j].AtMS })
	return Header{Trace: p.Name, Version: traceVersion, Outcomes: p.Outcomes}, out
}

// drawRequest draws request n of the trace, for a team at a time in seconds.
func (p Peak) drawRequest(rng *rand.Rand, models []Request, team string, at float64, n int) Request {
	r := models[int(math.Pow(float64(len(models)), rng.Float64()))-1]
	if rng.Float64() < p.ServiceShare {
		for _, s := range p.Services {
			if s.Team == team {
				r = s
			}
		}
		r.IdempotencyKey = fmt.Sprintf("%s-%d", p.Name, n)
	} else {
		r.Stream = rng.IntN(2) == 0
	}
	r.AtMS = int64(at * 1000)
	return r
}
