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

// highest is the largest latency that a histogram holds.
const highest = int64(10 * time.Minute / time.Microsecond)

// Latency is a latency distribution in milliseconds.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P95  float64 `json:"p95_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// TeamSummary sums up the requests of one team.
type TeamSummary struct {
	Sent    int           `json:"sent"`
	Classes map[Class]int `json:"classes"`
	First   Latency       `json:"first_token"`

	first *hdrhistogram.Histogram
}

// Summary sums up a run.
type Summary struct {
	Seconds       float64                 `json:"seconds"`
	Sent          int                     `json:"sent"`
	Classes       map[Class]int           `json:"classes"`
	Codes         map[string]int          `json:"refusal_codes"`
	Causes        map[string]int          `json:"causes"` // of requests that are neither ok nor refused
	First         Latency                 `json:"first_token"`
	Gap           Latency                 `json:"token_gap"` // longest gap of each stream
	Teams         map[string]*TeamSummary `json:"teams"`
	FailedTries   int                     `json:"failed_attempts"`
	MostFailed    int                     `json:"failed_attempts_of_one_caller"`
	Switches      int                     `json:"host_switches"`
	WorstOutageMS float64                 `json:"worst_interruption_ms"`
	HostUses      map[string]int          `json:"attempts_by_host"`
	Points        []Point                 `json:"-"`

	mu    sync.Mutex
	first *hdrhistogram.Histogram
	gap   *hdrhistogram.Histogram
}

// Point is one request for a plot.
type Point struct {
	At         time.Time
	FirstToken time.Duration
	Class      Class
	Team       string
}

func newSummary() *Summary {
	return &Summary{
		Classes:  map[Class]int{},
		Codes:    map[string]int{},
		Causes:   map[string]int{},
		Teams:    map[string]*TeamSummary{},
		HostUses: map[string]int{},
		first:    hdrhistogram.New(1, highest, 3),
		gap:      hdrhistogram.New(1, highest, 3),
	}
}

// causeLength bounds the text by which failures are grouped.
const causeLength = 60

func (s *Summary) add(r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Sent++
	s.Classes[r.Class]++
	t := s.Teams[r.Request.Team]
	if t == nil {
		t = &TeamSummary{Classes: map[Class]int{}, first: hdrhistogram.New(1, highest, 3)}
		s.Teams[r.Request.Team] = t
	}
	t.Sent++
	t.Classes[r.Class]++
	s.Points = append(s.Points, Point{At: r.Start, FirstToken: r.First, Class: r.Class, Team: r.Request.Team})
	switch r.Class {
	case ClassOK:
		_ = s.first.RecordValue(r.First.Microseconds()) // a value out of range is longer than any timeout
		_ = t.first.RecordValue(r.First.Microseconds())
		if r.MaxGap > 0 {
			_ = s.gap.RecordValue(r.MaxGap.Microseconds())
		}
	case ClassRefused:
		s.Codes[fmt.Sprintf("%s (%s)", r.Code, r.Execution)]++
	default:
		s.Causes[r.Cause[:min(len(r.Cause), causeLength)]]++
	}
}

func (s *Summary) finish(took time.Duration, clients []*client) {
	s.Seconds = took.Seconds()
	s.First, s.Gap = latency(s.first), latency(s.gap)
	for _, t := range s.Teams {
		t.First = latency(t.first)
	}
	for _, c := range clients {
		st := c.Stats()
		s.FailedTries += st.Failed
		s.MostFailed = max(s.MostFailed, st.Failed)
		s.Switches += st.Switches
		s.WorstOutageMS = max(s.WorstOutageMS, float64(c.maxGap)/float64(time.Millisecond))
		for host, n := range st.AttemptsByHost {
			s.HostUses[host] += n
		}
	}
}

func latency(h *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{P50: ms(50), P95: ms(95), P99: ms(99), P999: ms(99.9), Max: float64(h.Max()) / 1000}
}

// Print writes the summary as text.
func (s *Summary) Print(out io.Writer) {
	fmt.Fprintf(out, "%d requests in %.1f s (%.0f a second)\n", s.Sent, s.Seconds, float64(s.Sent)/s.Seconds)
	fmt.Fprintf(out, "ok %d, refused %d, cut %d, wrong %d, lost %d\n",
		s.Classes[ClassOK], s.Classes[ClassRefused], s.Classes[ClassCut], s.Classes[ClassWrong], s.Classes[ClassLost])
	fmt.Fprintf(out, "first token p50 %.1f ms, p95 %.1f ms, p99 %.1f ms; longest gap of a stream p95 %.1f ms\n",
		s.First.P50, s.First.P95, s.First.P99, s.Gap.P95)
	fmt.Fprintf(out, "failed attempts %d (at most %d of one caller), switches %d, worst interruption %.0f ms\n",
		s.FailedTries, s.MostFailed, s.Switches, s.WorstOutageMS)
	printCounts(out, "refusals", s.Codes)
	printCounts(out, "failures", s.Causes)
	printCounts(out, "attempts by host", s.HostUses)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TEAM\tSENT\tOK\tREFUSED\tCUT\tWRONG\tLOST\tFIRST TOKEN p95\tp99")
	for _, name := range sortedKeys(s.Teams) {
		t := s.Teams[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f ms\t%.1f ms\n", name, t.Sent, t.Classes[ClassOK], t.Classes[ClassRefused],
			t.Classes[ClassCut], t.Classes[ClassWrong], t.Classes[ClassLost], t.First.P95, t.First.P99)
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
