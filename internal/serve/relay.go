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

// maxResponseBytes is the size limit for a response that is held in memory.
const maxResponseBytes = 16 << 20

// maxEventBytes is the size limit for one event of a stream.
const maxEventBytes = 1 << 20

// StatusError reports a response with an error status from a target.
type StatusError struct {
	Status int
	Body   []byte
}

func (e *StatusError) Error() string { return fmt.Sprintf("target responded with status %d", e.Status) }

// IncompleteError reports a response that ended early.
type IncompleteError struct {
	Cause error
}

func (e *IncompleteError) Error() string { return fmt.Sprintf("incomplete response: %v", e.Cause) }

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Cause }

// UnusableError reports a response that arrived as the target sent it, but that cannot be
// forwarded. The target is not lost, and nothing of the response was delivered.
type UnusableError struct {
	Reason string
}

func (e *UnusableError) Error() string { return "unusable response: " + e.Reason }

// relay forwards the response of a target to the caller. It returns nil once the
// complete response has been forwarded.
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

// relayWhole reads the complete response before it forwards any of it.
func (m *modelRun) relayWhole(resp *target.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return &IncompleteError{Cause: err}
	}
	if len(body) > maxResponseBytes {
		return &UnusableError{Reason: "larger than a response may be"}
	}
	var parsed struct {
		Usage struct {
			CompletionTokens *int64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(body, &parsed); err != nil {
		return &UnusableError{Reason: err.Error()}
	}
	switch n := parsed.Usage.CompletionTokens; {
	case n != nil:
		m.delivered = *n
	case resp.Status < http.StatusBadRequest:
		m.delivered = m.call.maxTokens // unknown, so the most that the caller asked for
	}
	m.w.Header().Set("Content-Type", "application/json")
	m.w.WriteHeader(resp.Status)
	m.headSent = true
	_, _ = m.w.Write(body) // a caller that has left is not a failure of the target
	return nil
}

const (
	eventPrefix = "data: "
	eventDone   = "[DONE]"
)

// relayStream forwards events as they arrive. The response is complete only if it
// ends with the terminal event.
func (m *modelRun) relayStream(a *attempt, body io.Reader) error {
	flush := http.NewResponseController(m.w)
	events := newLineReader(body)
	for events.next() {
		line := events.line
		data, ok := bytes.CutPrefix(line, []byte(eventPrefix))
		if !ok {
			continue
		}
		a.recordToken()
		m.writeStreamHead()
		if _, err := fmt.Fprintf(m.w, "%s%s\n\n", eventPrefix, data); err != nil {
			return err
		}
		// Events that arrived together are flushed together.
		if !events.hasLine() {
			_ = flush.Flush()
		}
		if string(data) == eventDone {
			return nil
		}
		m.delivered++
	}
	return &IncompleteError{Cause: events.err}
}

// lineReader reads an event stream line by line.
type lineReader struct {
	in   *bufio.Reader
	line []byte // without the line break
	err  error
}

// readBufferBytes is large enough for several typical events.
const readBufferBytes = 8 << 10

func newLineReader(r io.Reader) *lineReader {
	return &lineReader{in: bufio.NewReaderSize(r, readBufferBytes)}
}

// next reads a line. A last line without a line break is not returned, since it
// may be truncated.
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

// hasLine reports whether another complete line is buffered. A partial line does
// not count, since the rest of it may never arrive.
func (l *lineReader) hasLine() bool {
	buffered, _ := l.in.Peek(l.in.Buffered()) // never fails for buffered bytes
	return bytes.IndexByte(bytes.TrimLeft(buffered, "\r\n"), '\n') >= 0
}

// writeStreamHead writes the head of a streamed response, unless it was written already.
func (m *modelRun) writeStreamHead() {
	if m.headSent {
		return
	}
	m.w.Header().Set("Content-Type", "text/event-stream")
	m.w.Header().Set("Cache-Control", "no-store")
	m.w.WriteHeader(http.StatusOK)
	m.headSent = true
}

// writeErrorEvent writes an error event, which ends a stream in place of the terminal event.
func writeErrorEvent(w http.ResponseWriter, ref *refusal.Error) {
	data, err := json.Marshal(ref.Body())
	if err != nil {
		return
	}
	var event strings.Builder
	event.WriteString("event: error\n" + eventPrefix)
	event.Write(data)
	event.WriteString("\n\n")
	_, _ = io.WriteString(w, event.String()) // the caller may have left
	_ = http.NewResponseController(w).Flush()
}
