// Package explain tells the story of one request from the logs of all hosts.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// slack widens the span of a request for what led to it.
const slack = 3 * time.Second

// record is one line of a log.
type record struct {
	at     time.Time
	host   string
	event  string
	fields map[string]any
}

// NotFoundError reports an id that no line has.
type NotFoundError struct {
	ID    string
	Lines int // lines read
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line of %d has the id %s", e.Lines, e.ID)
}

// Explain reads logs and writes, in order of time, what touched the request: its
// own lines, the swaps of its model, the orders to its target, and what hosts
// lost or regained meanwhile. What stands before the JSON of a line is ignored.
// It fails with *NotFoundError or a read error.
func Explain(logs io.Reader, out io.Writer, id string) error {
	all, err := read(logs)
	if err != nil {
		return err
	}
	s := spanOf(all, id)
	if s == nil {
		return &NotFoundError{ID: id, Lines: len(all)}
	}
	for _, r := range all {
		if s.touches(r) {
			fmt.Fprintln(out, r.line())
		}
	}
	return nil
}

func read(logs io.Reader) ([]record, error) {
	var all []record
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if r, ok := parse(scanner.Bytes()); ok {
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b record) int { return a.at.Compare(b.at) })
	return all, scanner.Err()
}

func parse(line []byte) (record, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return record{}, false
	}
	r := record{fields: map[string]any{}}
	decoder := json.NewDecoder(bytes.NewReader(line[start:]))
	decoder.UseNumber() // ids of moves are larger than a float can hold
	if decoder.Decode(&r.fields) != nil {
		return record{}, false // another program's line
	}
	r.event, r.host = r.text("event"), r.text("host")
	at, err := time.Parse(time.RFC3339Nano, r.text("time"))
	r.at = at
	return r, err == nil && r.event != ""
}

func (r record) text(field string) string {
	s, _ := r.fields[field].(string)
	return s
}

// span is what a request touched, and when.
type span struct {
	id, model string
	targets   map[string]bool
	from, to  time.Time
}

func spanOf(all []record, id string) *span {
	var s *span
	for _, r := range all {
		if r.text("id") != id {
			continue
		}
		if s == nil {
			s = &span{id: id, targets: map[string]bool{}, from: r.at, to: r.at}
		}
		s.to = r.at
		if took, ok := r.fields["took_ms"].(json.Number); ok {
			ms, _ := took.Int64() // a fraction counts as none
			if began := r.at.Add(-time.Duration(ms) * time.Millisecond); began.Before(s.from) {
				s.from = began
			}
		}
		if m := r.text("model"); m != "" {
			s.model, _, _ = strings.Cut(m, "/")
		}
		for _, field := range []string{"target", "engine", "shed_by"} {
			if t := r.text(field); t != "" {
				s.targets[t] = true
			}
		}
	}
	return s
}

// decisions are the events about an engine or a model that explain a request.
var decisions = []string{"move_planned", "move_done", "move_failed", "move_refused", "move_forgotten", "order", "engine_owned", "engine_differs", "orders_recounted", "target_changed", "target_gone"}

// conditions are the events about a host's own state.
var conditions = []string{"store_lost", "store_regained", "coordinator_changed", "coordinator_lost", "lease_lost", "lease_ended", "lease_not_renewed", "config_taken", "host_silent", "host_stopping", "host_started", "log_dropped"}

func (s *span) touches(r record) bool {
	if r.text("id") == s.id {
		return true
	}
	if r.at.Before(s.from.Add(-slack)) || r.at.After(s.to) {
		return false
	}
	if slices.Contains(conditions, r.event) {
		return true
	}
	if !slices.Contains(decisions, r.event) {
		return false
	}
	return (s.model != "" && (r.text("load") == s.model || r.text("model") == s.model)) || s.targets[r.text("engine")] || s.targets[r.text("target")]
}

// hidden are fields that a line names anyway, or that say nothing new.
var hidden = []string{"event", "host", "time", "level"}

func (r record) line() string {
	names := make([]string, 0, len(r.fields))
	for name := range r.fields {
		if !slices.Contains(hidden, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-22s %-20s", r.at.Format("15:04:05.000"), r.host, r.event)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, r.fields[name])
	}
	return b.String()
}
