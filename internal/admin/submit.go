package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/platform"
)

// HeaderOperation carries the operator's id of a change. A call repeated with
// the same id changes nothing a second time.
const HeaderOperation = "X-Operation-ID"

// Timing of a change.
const (
	settleTimeout = 12 * time.Second // for the object API to store it
	progressPause = 250 * time.Millisecond
	maxWait       = 60 * time.Second // longest wait for a change to be in force
)

// nameRule is the form of instance names.
var nameRule = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// change is one call that submits or withdraws an instance.
type change struct {
	name      string
	version   platform.Version // the version to replace, 0 if there must be none
	operation string
	wait      time.Duration
}

// changeOf reads the parameters of a call: the query parameters version and
// wait (seconds to wait for the change to be in force), and the operation id.
func changeOf(r *http.Request) (change, error) {
	c := change{name: mux.Vars(r)["name"], operation: r.Header.Get(HeaderOperation)}
	if c.operation == "" {
		c.operation = uuid.NewString()
	}
	if !nameRule.MatchString(c.name) {
		return c, c.invalid("the name must have 1 to 128 letters, digits or characters of . _ : -")
	}
	version, err := number(r, "version", 64)
	if err != nil {
		return c, c.invalid("version is not a number")
	}
	c.version = platform.Version(version)
	seconds, err := number(r, "wait", 16)
	if err != nil {
		return c, c.invalid("wait is not a number of seconds")
	}
	c.wait = min(time.Duration(seconds)*time.Second, maxWait)
	return c, nil
}

func (c change) invalid(reason string) error {
	return &platform.InvalidError{Kind: platform.KindInstances, Name: c.name, Reason: reason}
}

func number(r *http.Request, key string, bits int) (uint64, error) {
	raw := r.URL.Query().Get(key)
	if raw == "" {
		return 0, nil
	}
	return strconv.ParseUint(raw, 10, bits)
}

// put submits an instance.
func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	c, err := changeOf(r)
	if err != nil {
		h.failed(w, c, "instance_submitted", err)
		return
	}
	var inst config.Instance
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, platform.MaxObjectBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&inst); err != nil {
		h.failed(w, c, "instance_submitted", c.invalid("malformed instance: "+err.Error()))
		return
	}
	inst.Withdrawn = false // withdrawing is a call of its own
	if _, err := config.Render(h.templates, c.name, inst); err != nil {
		h.failed(w, c, "instance_submitted", err)
		return
	}
	h.change(w, r, c, "instance_submitted", inst)
}

// remove withdraws an instance: it stores the mark that it is withdrawn.
func (h *Handler) remove(w http.ResponseWriter, r *http.Request) {
	c, err := changeOf(r)
	if err == nil && c.version == 0 {
		err = c.invalid("version must be given")
	}
	if err != nil {
		h.failed(w, c, "instance_withdrawn", err)
		return
	}
	h.change(w, r, c, "instance_withdrawn", config.Instance{Withdrawn: true})
}

// change stores an instance and answers with its outcome.
func (h *Handler) change(w http.ResponseWriter, r *http.Request, c change, event string, inst config.Instance) {
	version, err := h.store(r.Context(), c, inst)
	if err != nil {
		h.failed(w, c, event, err)
		return
	}
	o := h.await(r.Context(), Instance{Name: c.name, Version: version, Instance: inst}, c)
	h.log(c, event, o.State).WithField("version", version).Info(o.Message)
	reply(w, o.status(), o)
}

func (h *Handler) failed(w http.ResponseWriter, c change, event string, err error) {
	p := failChange(w, c.operation, err)
	h.log(c, event, p.State).WithError(err).Warn(p.Message)
}

func (h *Handler) log(c change, event string, state State) logrus.FieldLogger {
	return h.opts.Log.WithFields(logrus.Fields{
		"event": event, "instance": c.name, "operation": c.operation, "expected": c.version, "state": state,
	})
}

// store writes an instance and returns its version. It goes on after the
// operator's connection is gone: what was begun is settled.
func (h *Handler) store(ctx context.Context, c change, inst config.Instance) (platform.Version, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	data, err := json.Marshal(inst)
	if err != nil {
		return 0, c.invalid(err.Error())
	}
	obj := platform.Object{Kind: platform.KindInstances, Name: c.name, Version: c.version, OpID: c.operation, Data: data}
	stored, err := platform.PutConfirmed(ctx, h.opts.API, obj)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return h.settleConflict(ctx, obj, conflict)
	}
	return stored.Version, err
}

// settleConflict looks at the object that a write met. The call may be a
// repeated one whose change is stored, or an instance may be created again
// over the mark of a withdrawn one.
func (h *Handler) settleConflict(ctx context.Context, obj platform.Object, conflict *platform.ConflictError) (platform.Version, error) {
	current, err := h.opts.API.Get(ctx, obj.Kind, obj.Name)
	if err != nil {
		return 0, conflict
	}
	if current.OpID == obj.OpID {
		return current.Version, nil
	}
	inst, err := decode(current)
	if err != nil || obj.Version != 0 || !inst.Withdrawn {
		return 0, conflict
	}
	obj.Version = current.Version
	stored, err := platform.PutConfirmed(ctx, h.opts.API, obj)
	return stored.Version, err
}

// await follows a stored change until it is accepted or c.wait has passed. A
// change submitted without a wait costs no call.
func (h *Handler) await(ctx context.Context, inst Instance, c change) Outcome {
	if c.wait == 0 {
		return outcomeOf(inst, c.operation, h.opts.Config.KnownProgress(inst.Version))
	}
	deadline := time.Now().Add(c.wait)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(time.Second))
	defer cancel()
	for {
		o := outcomeOf(inst, c.operation, h.opts.Config.Progress(ctx, inst.Version))
		if o.State == StateAccepted || ctx.Err() != nil || !time.Now().Before(deadline) {
			return o
		}
		select {
		case <-time.After(progressPause):
		case <-ctx.Done():
		}
	}
}

// progress says how far a stored version has come.
func (h *Handler) progress(w http.ResponseWriter, r *http.Request) {
	c, err := changeOf(r)
	if err == nil && c.version == 0 {
		err = c.invalid("version must be given")
	}
	if err != nil {
		failRead(w, err)
		return
	}
	c.operation = ""
	o := h.await(r.Context(), Instance{Name: c.name, Version: c.version}, c)
	reply(w, o.status(), o)
}
