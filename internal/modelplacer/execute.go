package modelplacer

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/placement"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/target"
)

// Prefixes of the names of placement records.
const (
	targetPrefix = "target."
	claimsPrefix = "claims."
)

// Timeouts of calls.
const (
	apiTimeout     = 10 * time.Second
	controlTimeout = 2 * time.Second
)

// resultInput passes the result of an action to the core.
type resultInput struct{ result placement.Result }

func (in resultInput) apply(l *loop, now time.Duration) { l.d.Done(now, in.result) }

// perform carries out an action and reports its result.
func (l *loop) perform(ctx context.Context, a placement.Action) {
	r := placement.Result{Action: a, Outcome: placement.Failed}
	switch a.Kind {
	case placement.WriteTarget:
		l.put(ctx, &r, targetPrefix+a.Name, a.Target)
	case placement.WriteClaims:
		l.put(ctx, &r, claimsPrefix+a.Name, a.Claims)
	case placement.ReadTarget:
		l.get(ctx, &r, targetPrefix+a.Name, &r.Target)
	case placement.ReadClaims:
		l.get(ctx, &r, claimsPrefix+a.Name, &r.Claims)
	case placement.SendOrder:
		l.sendOrder(ctx, &r)
	}
	l.send(ctx, resultInput{result: r})
}

func (l *loop) put(ctx context.Context, r *placement.Result, name string, record any) {
	data, err := json.Marshal(record)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, apiTimeout)
	defer cancel()
	stored, err := l.p.opts.API.Put(ctx, platform.Object{
		Kind: platform.KindPlacements, Name: name, Version: platform.Version(r.Action.Version), OpID: uuid.NewString(), Data: data,
	})
	r.Version = uint64(stored.Version)
	r.Outcome = writeOutcome(err)
	if err != nil {
		l.p.opts.Log.WithFields(logrus.Fields{"event": "placement_write_failed", "record": name}).Warn(err.Error())
	}
}

// writeOutcome classifies the error of a conditional write.
func writeOutcome(err error) placement.Outcome {
	var conflict *platform.ConflictError
	var unavailable *platform.UnavailableError
	var invalid *platform.InvalidError
	switch {
	case err == nil:
		return placement.Succeeded
	case errors.As(err, &conflict):
		return placement.Conflict
	case errors.As(err, &unavailable), errors.As(err, &invalid):
		return placement.Failed
	}
	return placement.Unknown
}

func (l *loop) get(ctx context.Context, r *placement.Result, name string, dest any) {
	ctx, cancel := context.WithTimeout(ctx, apiTimeout)
	defer cancel()
	obj, err := l.p.opts.API.Get(ctx, platform.KindPlacements, name)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		r.Outcome = placement.Succeeded
		return
	}
	if err != nil || json.Unmarshal(obj.Data, dest) != nil {
		return
	}
	r.Version = uint64(obj.Version)
	r.Outcome = placement.Succeeded
}

// sendOrder sends an order unless it has expired. The goroutine may have waited
// in goCall, so the expiry is checked right before the call.
func (l *loop) sendOrder(ctx context.Context, r *placement.Result) {
	t := l.p.opts.Config.Snapshot().Targets[r.Action.Name]
	remaining := r.Action.Expires - l.p.now()
	if t == nil || remaining <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(remaining, controlTimeout))
	defer cancel()
	o := r.Action.Order
	err := l.p.opts.Control.Order(ctx, t.Address, target.Order{
		Op: target.OrderOp(o.Op), Model: o.Model, Base: o.Base, Bytes: o.Bytes, Decision: o.Decision, Fence: o.Fence,
	})
	r.Outcome = orderOutcome(err)
	if err != nil {
		l.p.opts.Log.WithFields(logrus.Fields{"event": "placement_order_failed", "target": t.Name, "model": o.Model, "decision": o.Decision}).Warn(err.Error())
	}
}

// orderOutcome classifies the error of an order.
func orderOutcome(err error) placement.Outcome {
	var fenced *target.FencedError
	var rejected *target.RejectedError
	var unreachable *target.UnreachableError
	switch {
	case err == nil:
		return placement.Succeeded
	case errors.As(err, &fenced):
		return placement.Refused
	case errors.As(err, &rejected), errors.As(err, &unreachable):
		return placement.Failed
	}
	return placement.Unknown
}

// syncInput passes a complete list of the records to the core.
type syncInput struct {
	ok      bool
	began   time.Duration
	targets []placement.StoredTarget
	claims  []placement.StoredClaims
	floor   uint64
}

func (in *syncInput) apply(l *loop, now time.Duration) {
	l.syncing = false
	if !in.ok {
		l.syncAt = now + time.Second
		return
	}
	l.syncAt = now + syncInterval + time.Duration(len(in.targets)+len(in.claims))*syncPerRecord
	l.d.Sync(now, in.began, in.targets, in.claims, in.floor)
}

// sync lists the records.
func (l *loop) sync(ctx context.Context) {
	in := &syncInput{began: l.p.now()}
	callCtx, cancel := context.WithTimeout(ctx, apiTimeout)
	defer cancel()
	list, err := l.p.opts.API.List(callCtx, platform.KindPlacements)
	if err == nil {
		in.ok = true
		in.floor = uint64(list.Version)
		for _, obj := range list.Items {
			in.addRecord(l, obj)
		}
	}
	l.send(ctx, in)
}

func (in *syncInput) addRecord(l *loop, obj platform.Object) {
	var t placement.StoredTarget
	var c placement.StoredClaims
	var err error
	switch {
	case strings.HasPrefix(obj.Name, targetPrefix):
		err = json.Unmarshal(obj.Data, &t.Record)
		t.Version = uint64(obj.Version)
		in.targets = append(in.targets, t)
	case strings.HasPrefix(obj.Name, claimsPrefix):
		err = json.Unmarshal(obj.Data, &c.Record)
		c.Version = uint64(obj.Version)
		in.claims = append(in.claims, c)
	}
	if err != nil {
		in.ok = false // the core must not decide on an incomplete list
		l.p.opts.Log.WithFields(logrus.Fields{"event": "placement_record_unreadable", "record": obj.Name}).Error(err.Error())
	}
}
