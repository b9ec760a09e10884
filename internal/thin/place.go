// Package thin holds simple, single-host forms of duties, used until the full
// form of each is wired in.
package thin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/target"
)

// Placer loads a model on the engine that rendezvous hashing names first. The
// conditional update of the engine's placement object makes the decision of
// one host the only one.
type Placer struct {
	Config  config.Source
	API     platform.API
	Control target.Controller
	Log     logrus.FieldLogger
}

type slot struct {
	Model    string `json:"model"`
	Bytes    int64  `json:"bytes"`
	Decision string `json:"decision"`
}

type placement struct {
	Slots []slot `json:"slots"`
}

const pollInterval = 25 * time.Millisecond

// Ensure implements serve.Placer.
func (p *Placer) Ensure(ctx context.Context, model string) error {
	for {
		m := p.Config.Snapshot().Models[model]
		if m == nil {
			return refusal.New(http.StatusNotFound, refusal.CodeUnknownModel, "The model was withdrawn.")
		}
		engines := p.engines(m)
		if len(engines) == 0 {
			return refusal.New(http.StatusServiceUnavailable, refusal.CodeNoCapacity, "No engine may load the model.").WithRetry(time.Second)
		}
		for _, t := range engines {
			if ready(ctx, p.Control, t, model) {
				return nil
			}
		}
		if err := p.decide(ctx, engines[0], m); err != nil {
			p.Log.WithField("event", "placement_failed").Warn(err.Error())
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return refusal.New(http.StatusGatewayTimeout, refusal.CodeDeadline, "The model was not loaded in time.").WithRetry(time.Second)
		}
	}
}

// engines returns the engines that may load the model, best first.
func (p *Placer) engines(m *config.Model) []*config.Target {
	snap := p.Config.Snapshot()
	var names []string
	for name, t := range snap.Targets {
		if t.Kind == config.TargetEngine && t.Pool == m.Pool && !t.Leaving {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	sort.Strings(names)
	first := rendezvous.New(names, xxhash.Sum64String).Lookup(m.Name)
	out := []*config.Target{snap.Targets[first]}
	for _, name := range names {
		if name != first {
			out = append(out, snap.Targets[name])
		}
	}
	return out
}

func ready(ctx context.Context, control target.Controller, t *config.Target, model string) bool {
	r, err := control.Report(ctx, t.Address)
	if err != nil {
		return false
	}
	for _, rep := range r.Replicas {
		if rep.Model == model && rep.State == target.ReplicaReady {
			return true
		}
	}
	return false
}

// decide records a slot for the model unless there is one, then gives the order.
func (p *Placer) decide(ctx context.Context, t *config.Target, m *config.Model) error {
	obj, err := p.API.Get(ctx, platform.KindPlacements, t.Name)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		obj = platform.Object{Kind: platform.KindPlacements, Name: t.Name, Data: []byte("{}")}
	} else if err != nil {
		return err
	}
	var pl placement
	if err := json.Unmarshal(obj.Data, &pl); err != nil {
		return err
	}
	var used int64
	for _, s := range pl.Slots {
		if s.Model == m.Name {
			return nil
		}
		used += s.Bytes
	}
	if used+m.Bytes > t.MemoryBytes {
		return refusal.New(http.StatusServiceUnavailable, refusal.CodeNoCapacity, "No memory is free.")
	}
	s := slot{Model: m.Name, Bytes: m.Bytes, Decision: uuid.NewString()}
	pl.Slots = append(pl.Slots, s)
	if obj.Data, err = json.Marshal(pl); err != nil {
		return err
	}
	obj.OpID = ""
	if _, err := p.API.Put(ctx, obj); err != nil {
		return err
	}
	p.Log.WithFields(logrus.Fields{"event": "placement_decided", "model": m.Name, "target": t.Name, "decision": s.Decision}).Info("load decided")
	return p.Control.Order(ctx, t.Address, target.Order{Op: target.OrderLoad, Model: m.Name, Base: m.Base, Bytes: m.Bytes, Decision: s.Decision, Fence: 1})
}
