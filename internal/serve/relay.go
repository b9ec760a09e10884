package serve

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/target"
)

// maxAnswerBytes bounds an answer that is held in memory.
const maxAnswerBytes = 16 << 20

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// StatusError reports an answer of a target that is not a success.
type StatusError struct {
	Status int
	Body   []byte
}

func (e *StatusError) Error() string { return fmt.Sprintf("target answered status %d", e.Status) }

// IncompleteError reports an answer that ended before it was whole.
type IncompleteError struct {
	Cause error
}

func (e *IncompleteError) Error() string { return fmt.Sprintf("answer incomplete: %v", e.Cause) }

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Cause }

// relay passes the answer of a target on to the caller. It returns nil once
// the caller has the whole answer.
func (m *modelRun) relay(a *attempt, resp *target.Response) error {
	defer resp.Body.Close()
	if resp.Status >= http.StatusInternalServerError || resp.Status == http.StatusConflict {
		return &StatusError{Status: resp.Status}
	}
	if resp.Status >= http.StatusBadRequest {
		return m.relayWhole(resp)
	}
	if m.call.stream {
		return m.relayStream(a, resp.Body)
	}
	return m.relayWhole(resp)
}

// relayWhole reads the whole answer before the caller sees any of it.
func (m *modelRun) relayWhole(resp *target.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return &IncompleteError{Cause: err}
	}
	m.delivered = m.call.maxTokens
	var answer struct {
		Usage struct {
			CompletionTokens *int64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return &IncompleteError{Cause: err}
	}
	if n := answer.Usage.CompletionTokens; n != nil {
		m.delivered = *n
	}
	m.w.Header().Set("Content-Type", "application/json")
	m.w.WriteHeader(resp.Status)
	m.headSent = true
	_, _ = m.w.Write(body) // the caller being gone is no failure of the target
	return nil
}

const (
	eventPrefix = "data: "
	eventDone   = "[DONE]"
)

// relayStream passes events on as they come. Only the terminal event makes an
// answer whole.
func (m *modelRun) relayStream(a *attempt, body io.Reader) error {
	flush := http.NewResponseController(m.w)
	events := newLineReader(body)
	for events.next() {
		line := events.line
		data, ok := bytes.CutPrefix(line, []byte(eventPrefix))
		if !ok {
			continue
		}
		a.progress()
		m.openStream()
		if _, err := fmt.Fprintf(m.w, "%s%s\n\n", eventPrefix, data); err != nil {
			return err
		}
		// Events that have come together leave together.
		if !events.more() {
			_ = flush.Flush()
		}
		if string(data) == eventDone {
			return nil
		}
		m.delivered++
	}
	return &IncompleteError{Cause: events.err}
}

// lineReader reads the lines of a stream of events.
type lineReader struct {
	in   *bufio.Reader
	line []byte // without its end
	err  error
}

// readBufferBytes holds several events of usual size.
const readBufferBytes = 8 << 10

func newLineReader(r io.Reader) *lineReader {
	return &lineReader{in: bufio.NewReaderSize(r, readBufferBytes)}
}

// next reads a line. A last line without its end is not returned: it may have
// been cut.
func (l *lineReader) next() bool {
	l.line = l.line[:0]
	for {
		part, err := l.in.ReadSlice('\n')
		l.line = append(l.line, part...)
		if err == nil {
			l.line = bytes.TrimRight(l.line, "\r\n")
			return true
		}
		if err == bufio.ErrBufferFull && len(l.line) <= maxEventBytes {
			continue
		}
		l.err = err
		if err == io.EOF {
			l.err = io.ErrUnexpectedEOF
		}
		return false
	}
}

// more reports whether another whole line has come already. Part of a line
// does not count: the rest of it may never come.
func (l *lineReader) more() bool {
	waiting, _ := l.in.Peek(l.in.Buffered()) // cannot fail for what is buffered
	return bytes.IndexByte(bytes.TrimLeft(waiting, "\r\n"), '\n') >= 0
}

// openStream sends the head of a streamed answer once.
func (m *modelRun) openStream() {
	if m.headSent {
		return
	}
	m.w.Header().Set("Content-Type", "text/event-stream")
	m.w.Header().Set("Cache-Control", "no-store")
	m.w.WriteHeader(http.StatusOK)
	m.headSent = true
}

// writeErrorEvent ends a stream with an error in place of the terminal event.
func writeErrorEvent(w http.ResponseWriter, ref *refusal.Error) {
	data, err := json.Marshal(ref.Body())
	if err != nil {
		return
	}
	var event strings.Builder
	event.WriteString("event: error\n" + eventPrefix)
	event.Write(data)
	event.WriteString("\n\n")
	_, _ = io.WriteString(w, event.String()) // the caller may be gone
	_ = http.NewResponseController(w).Flush()
}
