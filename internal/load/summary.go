package load

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatencyMicros is the largest latency that a histogram records.
const maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)

// Latency is a latency distribution in milliseconds.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P95  float64 `json:"p95_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// TeamSummary summarizes the requests of one team.
type TeamSummary struct {
	Sent       int           `json:"sent"`
	Classes    map[Class]int `json:"classes"`
	FirstToken Latency       `json:"first_token"`

	firstToken *hdrhistogram.Histogram
}

// Summary summarizes a run.
type Summary struct {
	Seconds             float64                 `json:"seconds"`
	Sent                int                     `json:"sent"`
	Classes             map[Class]int           `json:"classes"`
	RefusalCodes        map[string]int          `json:"refusal_codes"`
	Causes              map[string]int          `json:"causes"` // of requests neither ok nor refused
	FirstToken          Latency                 `json:"first_token"`
	TokenGap            Latency                 `json:"token_gap"` // longest gap of each stream
	Teams               map[string]*TeamSummary `json:"teams"`
	FailedAttempts      int                     `json:"failed_attempts"`
	MaxFailedAttempts   int                     `json:"failed_attempts_of_one_caller"`
	HostSwitches        int                     `json:"host_switches"`
	WorstInterruptionMS float64                 `json:"worst_interruption_ms"`
	AttemptsByHost      map[string]int          `json:"attempts_by_host"`
	Points              []Point                 `json:"-"`

	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
}

// Point is the data point of one request in a plot.
type Point struct {
	At         time.Time
	FirstToken time.Duration
	Class      Class
	Team       string
}

func newSummary() *Summary {
	return &Summary{
		Classes:        map[Class]int{},
		RefusalCodes:   map[string]int{},
		Causes:         map[string]int{},
		Teams:          map[string]*TeamSummary{},
		AttemptsByHost: map[string]int{},
		firstToken:     hdrhistogram.New(1, maxLatencyMicros, 3),
		tokenGap:       hdrhistogram.New(1, maxLatencyMicros, 3),
	}
}

// maxCauseLength is the number of bytes of a cause by which failures are grouped.
const maxCauseLength = 60

func (s *Summary) record(r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Sent++
	s.Classes[r.Class]++
	t := s.Teams[r.Request.Team]
	if t == nil {
		t = &TeamSummary{Classes: map[Class]int{}, firstToken: hdrhistogram.New(1, maxLatencyMicros, 3)}
		s.Teams[r.Request.Team] = t
	}
	t.Sent++
	t.Classes[r.Class]++
	s.Points = append(s.Points, Point{At: r.Start, FirstToken: r.FirstToken, Class: r.Class, Team: r.Request.Team})
	switch r.Class {
	case ClassOK:
		// RecordValue fails only beyond maxLatencyMicros, which is longer than any timeout.
		_ = s.firstToken.RecordValue(r.FirstToken.Microseconds())
		_ = t.firstToken.RecordValue(r.FirstToken.Microseconds())
		if r.MaxGap > 0 {
			_ = s.tokenGap.RecordValue(r.MaxGap.Microseconds())
		}
	case ClassRefused:
		s.RefusalCodes[fmt.Sprintf("%s (%s)", r.Code, r.Execution)]++
	default:
		s.Causes[r.Cause[:min(len(r.Cause), maxCauseLength)]]++
	}
}

func (s *Summary) finish(took time.Duration, clients []*client) {
	s.Seconds = took.Seconds()
	s.FirstToken, s.TokenGap = newLatency(s.firstToken), newLatency(s.tokenGap)
	for _, t := range s.Teams {
		t.FirstToken = newLatency(t.firstToken)
	}
	for _, c := range clients {
		st := c.Stats()
		s.FailedAttempts += st.Failed
		s.MaxFailedAttempts = max(s.MaxFailedAttempts, st.Failed)
		s.HostSwitches += st.Switches
		s.WorstInterruptionMS = max(s.WorstInterruptionMS, float64(c.maxGap)/float64(time.Millisecond))
		for host, n := range st.AttemptsByHost {
			s.AttemptsByHost[host] += n
		}
	}
}

func newLatency(h *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: ms(50), P95: ms(95), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000}
}

// Print writes the summary as text.
func (s *Summary) Print(out io.Writer) {
	fmt.Fprintf(out, "%d requests in %.1f s (%.0f a second)\n", s.Sent, s.Seconds, float64(s.Sent)/s.Seconds)
	fmt.Fprintf(out, "ok %d, refused %d, cut %d, wrong %d, lost %d\n",
		s.Classes[ClassOK], s.Classes[ClassRefused], s.Classes[ClassCut], s.Classes[ClassWrong], s.Classes[ClassLost])
	fmt.Fprintf(out, "first token p50 %.1f ms, p95 %.1f ms, p99 %.1f ms; longest gap of a stream p95 %.1f ms\n",
		s.FirstToken.P50, s.FirstToken.P95, s.FirstToken.P99, s.TokenGap.P95)
	fmt.Fprintf(out, "failed attempts %d (at most %d of one caller), switches %d, worst interruption %.0f ms\n",
		s.FailedAttempts, s.MaxFailedAttempts, s.HostSwitches, s.WorstInterruptionMS)
	printCounts(out, "refusals", s.RefusalCodes)
	printCounts(out, "failures", s.Causes)
	printCounts(out, "attempts by host", s.AttemptsByHost)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TEAM\tSENT\tOK\tREFUSED\tCUT\tWRONG\tLOST\tFIRST TOKEN p95\tp99")
	for _, name := range sortedKeys(s.Teams) {
		t := s.Teams[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f ms\t%.1f ms\n", name, t.Sent, t.Classes[ClassOK], t.Classes[ClassRefused],
			t.Classes[ClassCut], t.Classes[ClassWrong], t.Classes[ClassLost], t.FirstToken.P95, t.FirstToken.P99)
	}
	w.Flush()
}

func printCounts(out io.Writer, title string, counts map[string]int) {
	if len(counts) == 0 {
		return
	}
	fmt.Fprintf(out, "%s:\n", title)
	for _, k := range sortedKeys(counts) {
		fmt.Fprintf(out, "  %7d  %s\n", counts[k], k)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
