package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// copyBufferBytes is the size of the buffer for relaying a stream.
const copyBufferBytes = 16 << 10

// relay sends a target's response to the caller.
func (g *Gateway) relay(x *exchange, c coordinator.Choice, resp *target.ForwardResponse, silence *silenceWatch, sent time.Duration) result {
	if x.route.Kind == fleet.Streaming && resp.Status == http.StatusOK {
		return g.relayStream(x, c, resp, silence, sent)
	}
	if !g.buffers(resp) {
		return g.relayLarge(x, c, resp, silence)
	}
	held := g.holdResponse(x, c.Target.ID, silence)
	defer held.End()
	body, err := readBuffered(resp.Body, held)
	if err != nil {
		g.logBrokenResponse(x, c, err, len(body))
		return g.sendFailed(x, c, err)
	}
	g.opts.View.RecordOutcome(c.Target.ID, resp.Status/100 != 5)
	if resp.Status/100 == 2 {
		g.recordNotices(x, c, resp)
		g.opts.Parts.RecordCompletion(x.call.SharedParts, c.Target, x.sentAt)
	}
	g.copyHeader(x, resp)
	if resp.Length < 0 {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.status = resp.Status
	x.w.WriteHeader(resp.Status)
	if _, err := x.w.Write(body); err != nil {
		x.log["reason"] = "caller left during the answer"
	}
	return relayed
}

// Limits of what is read of a response before any of it is sent to the caller. A target in trouble may
// send bytes without end.
const (
	maxBufferedBytes = 4 << 20 // of a plain response; one with a larger declared length is not buffered
	maxEventBytes    = 1 << 20 // of one event of a stream
)

// OversizedResponseError reports a response that exceeds a limit and may have no end.
type OversizedResponseError struct {
	Part  string
	Limit int64 // in bytes
}

func (e *OversizedResponseError) Error() string {
	return fmt.Sprintf("%s of the response has more than %d bytes", e.Part, e.Limit)
}

// relayLarge sends a plain response to the caller as it arrives. If it breaks, the connection is aborted, and
// the request is not sent again.
func (g *Gateway) relayLarge(x *exchange, c coordinator.Choice, resp *target.ForwardResponse, silence *silenceWatch) result {
	if err := silence.pause(); err != nil {
		return g.sendFailed(x, c, err)
	}
	if resp.Status/100 == 2 {
		g.recordNotices(x, c, resp)
	}
	g.copyHeader(x, resp)
	x.headWritten, x.status = true, resp.Status
	x.showProgress()
	x.w.WriteHeader(resp.Status)
	n, err := io.Copy(x.w, resp.Body)
	if err != nil {
		x.sends++
		x.log["reason"] = err.Error()
		g.logBrokenResponse(x, c, err, int(n))
		g.fail(x, resp.Status)
	}
	g.opts.View.RecordOutcome(c.Target.ID, resp.Status/100 != 5)
	return relayed
}

func (g *Gateway) logBrokenResponse(x *exchange, c coordinator.Choice, err error, n int) {
	fields := logrus.Fields{"event": "answer_broken", "id": x.call.ID, "target": c.Target.ID, "sent_ms": (g.opts.Now() - x.sentAt).Milliseconds()}
	if x.route.Kind == fleet.Streaming {
		fields["events"], fields["last_event"] = x.events.count, x.events.lastID
	} else {
		fields["bytes"] = n
	}
	g.opts.Log.WithFields(fields).Warn(err.Error())
}

// copyHeader copies the headers of a target's response.
func (g *Gateway) copyHeader(x *exchange, resp *target.ForwardResponse) {
	h := x.w.Header()
	for name, values := range g.opts.Codec.ResponseHeader(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps the server from detecting one
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
}

// relayStream sends events to the caller as they arrive. A broken stream is
// resumed at another target if the route allows it; otherwise the connection is
// aborted so that the response doesn't look complete.
func (g *Gateway) relayStream(x *exchange, c coordinator.Choice, resp *target.ForwardResponse, silence *silenceWatch, sent time.Duration) result {
	flusher := http.NewResponseController(x.w)
	x.events.reset()
	held := g.holdResponse(x, c.Target.ID, silence)
	defer dropEvents(x, held)
	buf := make([]byte, copyBufferBytes)
	recordNotices := sync.OnceFunc(func() { g.recordNotices(x, c, resp) })
	for {
		before := x.events.position
		events, err := x.events.readFrom(resp.Body, buf)
		err = holdEvents(x, held, events, err)
		if len(events) > 0 {
			recordNotices()
			progress := hasField(events)
			if progress {
				if moved := silence.pause(); moved != nil {
					x.events.position = before
					return g.streamFailed(x, c, moved)
				}
			}
			if progress && sent > 0 {
				g.opts.View.RecordFirstEvent(c.Target.ID, g.opts.Now()-sent)
				g.opts.View.RecordPrefill(c.Target, x.memory.prefill, g.opts.Now()-sent)
				sent = 0
			}
			if progress {
				g.runTimes.progress(x, g.opts.Now())
			}
			g.recordOrigin(x, c)
			if !g.writeEvents(x, flusher, events, resp) {
				return callerLeft
			}
			if progress {
				x.sends += silence.takeHedges()
				silence.restart(x, g.silenceTimeout(x, c.Target.ID, 0))
			}
		}
		if err == nil {
			continue
		}
		logStreamEnd(x, resp)
		if err == io.EOF {
			err = checkStreamEnd(x, resp, sent > 0)
		}
		if err != nil {
			return g.streamFailed(x, c, err)
		}
		recordNotices()
		g.opts.View.RecordOutcome(c.Target.ID, true)
		if !g.writeEvents(x, flusher, x.events.remainder(), resp) {
			return callerLeft
		}
		x.endResponse()
		g.opts.Origins.Completed(x.call.ID)
		g.opts.Parts.RecordCompletion(x.call.SharedParts, c.Target, x.sentAt)
		return relayed
	}
}

// IncompleteStreamError reports a stream whose body ended without an error but is not complete.
type IncompleteStreamError struct {
	PartialBytes int // of an incomplete event; 0: the stream had no event
}

func (e *IncompleteStreamError) Error() string {
	if e.PartialBytes == 0 {
		return "stream closed before its first event"
	}
	return fmt.Sprintf("stream ended inside an event, after %d bytes of it", e.PartialBytes)
}

// checkStreamEnd checks a body that ended without an error. Whatever its framing, it must end with a
// complete event; and a closed connection alone does not show that a stream without events is complete.
func checkStreamEnd(x *exchange, resp *target.ForwardResponse, noEvents bool) error {
	if n := x.events.partialBytes(); n > 0 || noEvents && resp.Framing == target.FramingClose {
		return &IncompleteStreamError{PartialBytes: n}
	}
	return nil
}

// logStreamEnd adds how a stream ended to the request's log line.
func logStreamEnd(x *exchange, resp *target.ForwardResponse) {
	x.log["framing"], x.log["last_event"] = resp.Framing, x.events.lastID
	if n := x.events.partialBytes(); n > 0 {
		x.log["partial_event_bytes"] = n
	} else {
		delete(x.log, "partial_event_bytes")
	}
}

// writeEvents sends events to the caller, preceded by the response head if they
// are the first. No header of the target is used before that, as another target
// may still serve the request, or none.
func (g *Gateway) writeEvents(x *exchange, flusher *http.ResponseController, events []byte, resp *target.ForwardResponse) bool {
	if !x.headWritten {
		x.headWritten, x.status = true, resp.Status
		x.log["first_ms"] = (g.opts.Now() - x.arrived).Milliseconds()
		g.copyHeader(x, resp)
		x.w.Header().Del("Content-Length")
		x.guardUndelimited()
		x.showProgress() // the write may wait for the caller
		x.w.WriteHeader(resp.Status)
	}
	if len(events) > 0 {
		if _, err := x.w.Write(events); err != nil {
			return false
		}
		if hasField(events) {
			x.lastEventAt = g.opts.Now()
		}
	}
	x.showProgress()
	return flusher.Flush() == nil
}

func (g *Gateway) streamFailed(x *exchange, c coordinator.Choice, err error) result {
	if x.r.Context().Err() != nil {
		return callerLeft
	}
	g.logBrokenResponse(x, c, err, 0)
	g.recordFailure(c, err)
	x.log["reason"] = "stream broke off"
	g.reportEngineFailure(x, c, err)
	return mayHaveRun
}

// reportEngineFailure reports a request whose target broke the connection. A
// target that was only silent isn't counted, nor is a failure that may come from the loss of this host's
// way to all targets.
func (g *Gateway) reportEngineFailure(x *exchange, c coordinator.Choice, err error) {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return
	}
	record := g.engineFailure(x, c)
	if _, always := g.opts.Reach.(alwaysReached); always {
		record()
		return
	}
	failedAt := g.opts.Now()
	go func() {
		if g.opts.Reach.Confirm(context.WithoutCancel(x.r.Context()), failedAt) {
			record()
		}
	}()
}

// engineFailure returns a function that records the failure of a target under a request.
func (g *Gateway) engineFailure(x *exchange, c coordinator.Choice) (record func()) {
	fingerprint := x.fingerprint()
	fields := logrus.Fields{
		"event": "engine_failure", "id": x.call.ID, "target": c.Target.ID, "sent_ms": (g.opts.Now() - x.sentAt).Milliseconds(),
		"fingerprint": fingerprint, "known_failures": g.opts.EngineFailures(fingerprint), "prompt_parts": partsForLog(x.call.SharedParts),
	}
	parts, sentAt, failure := x.call.SharedParts, x.sentAt, coordinator.EngineFailureID(fingerprint, x.call.ID)
	return func() {
		g.opts.Log.WithFields(fields).Warn("target broke off under the request")
		g.opts.Parts.RecordFailure(fingerprint, parts, c.Target, sentAt)
		g.opts.ReportEngineFailure(failure)
	}
}
