// Package explain extracts the log lines that concern one request from the logs of
// all hosts.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// leadTime extends the time range of a request to earlier events that may have
// affected it.
const leadTime = 3 * time.Second

// record is one log line.
type record struct {
	at     time.Time
	host   string
	event  string
	fields map[string]any
}

// NotFoundError reports that no log line has the given id.
type NotFoundError struct {
	ID    string
	Lines int // number of log lines read, without other text
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("none of %d log lines has the id %s", e.Lines, e.ID)
}

// Explain reads logs and writes the lines that concern a request, ordered by time:
// its own lines, the swaps of its model, the orders to its target, changes in
// the state of hosts during that time, and the evacuations of zones then in force. It ignores any text before the JSON object
// of a line. It fails with *NotFoundError or a read error.
func Explain(logs io.Reader, out io.Writer, id string) error {
	all, err := read(logs)
	if err != nil {
		return err
	}
	s := scopeOf(all, id)
	if s == nil {
		return &NotFoundError{ID: id, Lines: len(all)}
	}
	evacuations := s.evacuationsBefore(all)
	for i, r := range all {
		if evacuations[i] || s.includes(r) {
			fmt.Fprintln(out, r.line())
		}
	}
	return nil
}

func read(logs io.Reader) ([]record, error) {
	var all []record
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
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
	decoder.UseNumber() // a float can't represent the ids of moves exactly
	if decoder.Decode(&r.fields) != nil {
		return record{}, false // a line of another program
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

// scope holds the model, the targets and the time range of a request.
type scope struct {
	id, model string
	// route and team are those of the request if it is bound to homes.
	route, team string
	hosts       map[string]bool // that had the request
	targets     map[string]bool
	from, to    time.Time
}

func scopeOf(all []record, id string) *scope {
	var s *scope
	for _, r := range all {
		if r.text("id") != id {
			continue
		}
		if s == nil {
			s = &scope{id: id, targets: map[string]bool{}, hosts: map[string]bool{}, from: r.at, to: r.at}
		}
		s.to = r.at
		s.hosts[r.host] = true
		if took, ok := r.fields["took_ms"].(json.Number); ok {
			ms, _ := took.Int64() // 0 if it is not an integer
			if start := r.at.Add(-time.Duration(ms) * time.Millisecond); start.Before(s.from) {
				s.from = start
			}
		}
		if m := r.text("model"); m != "" {
			s.model, _, _ = strings.Cut(m, "/")
		}
		if r.text("homes_of") != "" {
			s.route, s.team = r.text("route"), r.text("team")
		}
		for _, field := range []string{"target", "engine", "shed_by"} {
			if t := r.text(field); t != "" {
				s.targets[t] = true
			}
		}
	}
	return s
}

// decisionEvents are the events about an engine or a model that may have affected
// a request.
var decisionEvents = []string{"move_planned", "move_done", "move_failed", "move_refused", "move_forgotten", "order", "engine_owned", "engine_differs", "orders_recounted", "target_changed", "target_gone", "permit_not_requested", "slot_not_requested", "memory_not_requested"}

// hostEvents are the events about the state of a host itself.
var hostEvents = []string{"store_lost", "store_regained", "coordinator_changed", "coordinator_lost", "deputy_replied", "lease_lost", "lease_ended", "lease_not_renewed", "config_taken", "config_ignored", "store_era", "target_reach", "engines_yielded", "targets_listed", "host_silent", "host_stopping", "host_started", "log_dropped", "directory_source", evacuationBegan, evacuationEnded, "accept_failed", "panic", "memory_witness_lost"}

// noticeTime is how long before a request a target may have said why it was passed over. Quiet and limits are over by
// then unless they are named again, and a target that leaves is usually gone.
const noticeTime = time.Minute

// noticeEvents are the events on what targets say about themselves.
var noticeEvents = []string{"target_leaving", "target_quiet", "target_limit", "service_brittle", "directory_outside_homes", "target_cold", "target_warm", "cold_rate_invalid"}

// homesEvent is the event on homes of a route or a team that name no region of the deployment. It is logged once, when the configuration
// is taken, and holds until the configuration changes.
const homesEvent = "homes_unknown"

// evacuationEvents are the beginning and the end of the evacuation of a zone at a host.
const (
	evacuationBegan = "evacuation_began"
	evacuationEnded = "evacuation_ended"
)

// evacuationsBefore returns the beginnings of the evacuations that were in force at hosts when a request came, however long
// before that was.
func (s *scope) evacuationsBefore(all []record) map[int]bool {
	last := map[[2]string]int{}
	for i, r := range all {
		key := [2]string{r.host, r.text("zone")}
		switch {
		case r.at.After(s.from):
		case r.event == evacuationBegan:
			last[key] = i
		case r.event == evacuationEnded:
			delete(last, key)
		case r.event == "host_started": // it logs the evacuations that it learns of
			maps.DeleteFunc(last, func(k [2]string, _ int) bool { return k[0] == r.host })
		}
	}
	out := map[int]bool{}
	for _, i := range last {
		out[i] = true
	}
	return out
}

func (s *scope) includes(r record) bool {
	if r.text("id") == s.id {
		return true
	}
	if r.event == homesEvent {
		ofRequest := s.route != "" && r.text("route") == s.route || s.team != "" && r.text("team") == s.team
		return ofRequest && s.hosts[r.host] && !r.at.After(s.to)
	}
	if slices.Contains(noticeEvents, r.event) {
		return !r.at.Before(s.from.Add(-noticeTime)) && !r.at.After(s.to)
	}
	if r.at.Before(s.from.Add(-leadTime)) || r.at.After(s.to) {
		return false
	}
	if slices.Contains(hostEvents, r.event) {
		return true
	}
	if !slices.Contains(decisionEvents, r.event) {
		return false
	}
	return (s.model != "" && (r.text("load") == s.model || r.text("model") == s.model)) || s.targets[r.text("engine")] || s.targets[r.text("target")]
}

// omittedFields are not written as name=value: time, host and event are at the
// beginning of the line, and level is not needed.
var omittedFields = []string{"event", "host", "time", "level"}

func (r record) line() string {
	names := make([]string, 0, len(r.fields))
	for name := range r.fields {
		if !slices.Contains(omittedFields, name) {
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
