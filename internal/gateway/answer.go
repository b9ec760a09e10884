package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/steer"
	"buckthornseam.dev/seam/internal/target"
)

// copyBytes is the size of the pieces in which an answer is passed on.
const copyBytes = 16 << 10

// passOn passes an answer on to the caller.
func (g *Gateway) passOn(ctx context.Context, x *exchange, c steer.Choice, resp *target.Forwarded, silence *time.Timer, sent time.Duration) result {
	if x.route.Kind == fleet.Streaming && resp.Status == http.StatusOK {
		return g.passStream(ctx, x, c, resp, silence, sent)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		g.logBroken(x, c, err, len(body))
		return g.sendFailed(x, c, err)
	}
	silence.Stop()
	g.opts.Board.RecordOutcome(c.Target.ID, resp.Status/100 != 5)
	g.head(x, resp)
	if resp.Length < 0 {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.status = resp.Status
	x.w.WriteHeader(resp.Status)
	if _, err := x.w.Write(body); err != nil {
		x.log["reason"] = "caller left during the answer"
	}
	return answered
}

func (g *Gateway) logBroken(x *exchange, c steer.Choice, err error, n int) {
	g.opts.Log.WithFields(logrus.Fields{"event": "answer_broken", "id": x.call.ID, "target": c.Target.ID, "bytes": n}).Warn(err.Error())
}

// head copies the headers of an answer.
func (g *Gateway) head(x *exchange, resp *target.Forwarded) {
	h := x.w.Header()
	for name, values := range g.opts.Codec.AnswerHeader(resp.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // stops the server from guessing one
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
}

// passStream passes events on as they come. A stream that breaks is gone on
// with at another target if the route allows it, and else cut so that it does
// not look complete.
func (g *Gateway) passStream(ctx context.Context, x *exchange, c steer.Choice, resp *target.Forwarded, silence *time.Timer, sent time.Duration) result {
	flusher := http.NewResponseController(x.w)
	x.events.reset()
	piece := make([]byte, copyBytes)
	for {
		n, err := resp.Body.Read(piece)
		if n > 0 {
			x.events.add(piece[:n])
			if whole := x.events.take(); len(whole) > 0 {
				silence.Stop()
				if sent > 0 {
					g.opts.Board.RecordFirstEvent(c.Target.ID, g.opts.Now()-sent)
					sent = 0
				}
				if !g.write(x, flusher, whole, resp) {
					return callerLeft
				}
				silence.Reset(g.patience(x, c.Target.ID))
			}
		}
		if err == nil {
			continue
		}
		if err != io.EOF {
			return g.streamBroke(ctx, x, c, err)
		}
		g.opts.Board.RecordOutcome(c.Target.ID, true)
		if !g.write(x, flusher, x.events.rest(), resp) {
			return callerLeft
		}
		return answered
	}
}

// write passes on events, after the head if they are the first. Until then
// nothing of the target's head is taken: another target may answer, or none.
func (g *Gateway) write(x *exchange, flusher *http.ResponseController, events []byte, resp *target.Forwarded) bool {
	if !x.begun {
		x.begun, x.status = true, resp.Status
		x.log["first_ms"] = (g.opts.Now() - x.arrived).Milliseconds()
		g.head(x, resp)
		x.w.Header().Del("Content-Length")
		x.w.WriteHeader(resp.Status)
	}
	if len(events) > 0 {
		if _, err := x.w.Write(events); err != nil {
			return false
		}
	}
	return flusher.Flush() == nil
}

func (g *Gateway) streamBroke(_ context.Context, x *exchange, c steer.Choice, err error) result {
	if x.r.Context().Err() != nil {
		return callerLeft
	}
	g.logBroken(x, c, err, 0)
	g.opts.Board.RecordOutcome(c.Target.ID, false)
	x.log["reason"] = "stream broke off"
	g.strike(x, err)
	return mayHaveRun
}
