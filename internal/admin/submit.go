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

// HeaderOperation carries the operation id of a change, chosen by the operator.
// Calls are idempotent by this id.
const HeaderOperation = "X-Operation-ID"

// Timeouts of a change.
const (
	storeTimeout         = 12 * time.Second // for the object API to store it
	progressPollInterval = 250 * time.Millisecond
	maxWait              = 60 * time.Second // longest wait for a change to be in force
)

// namePattern matches valid instance names.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// changeRequest holds the parameters of a call that submits or withdraws an
// instance or asks for the progress of such a change.
type changeRequest struct {
	name      string
	version   platform.Version // the version to replace, 0 to create the instance
	operation string
	wait      time.Duration
}

// parseChange reads the query parameters version and wait (the seconds to wait
// for the change to be in force) and the operation id. Without an id in the
// request it generates one.
func parseChange(r *http.Request) (changeRequest, error) {
	c := changeRequest{name: mux.Vars(r)["name"], operation: r.Header.Get(HeaderOperation)}
	if c.operation == "" {
		c.operation = uuid.NewString()
	}
	if !namePattern.MatchString(c.name) {
		return c, c.invalidError("the name must have 1 to 128 letters, digits or characters of . _ : -")
	}
	version, err := uintParam(r, "version", 64)
	if err != nil {
		return c, c.invalidError("version is not a number")
	}
	c.version = platform.Version(version)
	seconds, err := uintParam(r, "wait", 16)
	if err != nil {
		return c, c.invalidError("wait is not a number of seconds")
	}
	c.wait = min(time.Duration(seconds)*time.Second, maxWait)
	return c, nil
}

func (c changeRequest) invalidError(reason string) error {
	return &platform.InvalidError{Kind: platform.KindInstances, Name: c.name, Reason: reason}
}

func uintParam(r *http.Request, key string, bits int) (uint64, error) {
	raw := r.URL.Query().Get(key)
	if raw == "" {
		return 0, nil
	}
	return strconv.ParseUint(raw, 10, bits)
}

// submit handles PUT of an instance.
func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	c, err := parseChange(r)
	if err != nil {
		h.failChange(w, c, "instance_submitted", err)
		return
	}
	var inst config.Instance
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, platform.MaxObjectBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&inst); err != nil {
		h.failChange(w, c, "instance_submitted", c.invalidError("malformed instance: "+err.Error()))
		return
	}
	inst.Withdrawn = false // only DELETE withdraws an instance
	if _, err := config.Render(h.templates, c.name, inst); err != nil {
		h.failChange(w, c, "instance_submitted", err)
		return
	}
	h.applyChange(w, r, c, "instance_submitted", inst)
}

// withdraw handles DELETE of an instance. It stores a tombstone: an instance
// that is marked as withdrawn.
func (h *Handler) withdraw(w http.ResponseWriter, r *http.Request) {
	c, err := parseChange(r)
	if err == nil && c.version == 0 {
		err = c.invalidError("version must be given")
	}
	if err != nil {
		h.failChange(w, c, "instance_withdrawn", err)
		return
	}
	h.applyChange(w, r, c, "instance_withdrawn", config.Instance{Withdrawn: true})
}

// applyChange stores an instance and writes the outcome.
func (h *Handler) applyChange(w http.ResponseWriter, r *http.Request, c changeRequest, event string, inst config.Instance) {
	version, err := h.store(r.Context(), c, inst)
	if err != nil {
		h.failChange(w, c, event, err)
		return
	}
	o := h.awaitInForce(r.Context(), Instance{Name: c.name, Version: version, Instance: inst}, c)
	h.changeLog(c, event, o.State).WithField("version", version).Info(o.Message)
	writeJSON(w, o.httpStatus(), o)
}

func (h *Handler) failChange(w http.ResponseWriter, c changeRequest, event string, err error) {
	p := writeChangeError(w, c.operation, err)
	h.changeLog(c, event, p.State).WithError(err).Warn(p.Message)
}

func (h *Handler) changeLog(c changeRequest, event string, state State) logrus.FieldLogger {
	return h.opts.Log.WithFields(logrus.Fields{
		"event": event, "instance": c.name, "operation": c.operation, "expected": c.version, "state": state,
	})
}

// store writes an instance and returns its version. It continues after the
// operator has disconnected, so that a started write gets a known outcome.
func (h *Handler) store(ctx context.Context, c changeRequest, inst config.Instance) (platform.Version, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	data, err := json.Marshal(inst)
	if err != nil {
		return 0, c.invalidError(err.Error())
	}
	obj := platform.Object{Kind: platform.KindInstances, Name: c.name, Version: c.version, OpID: c.operation, Data: data}
	stored, err := platform.PutConfirmed(ctx, h.opts.API, obj)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return h.resolveConflict(ctx, obj, conflict)
	}
	return stored.Version, err
}

// resolveConflict handles a write that found another version stored. It
// succeeds if the stored version is from an earlier attempt of the same
// operation, or if the write creates an instance and the stored one is a
// tombstone, which it replaces.
func (h *Handler) resolveConflict(ctx context.Context, obj platform.Object, conflict *platform.ConflictError) (platform.Version, error) {
	current, err := h.opts.API.Get(ctx, obj.Kind, obj.Name)
	if err != nil {
		return 0, conflict
	}
	if current.OpID == obj.OpID {
		return current.Version, nil
	}
	inst, err := decodeInstance(current)
	if err != nil || obj.Version != 0 || !inst.Withdrawn {
		return 0, conflict
	}
	obj.Version = current.Version
	stored, err := platform.PutConfirmed(ctx, h.opts.API, obj)
	return stored.Version, err
}

// awaitInForce polls the progress of a stored change until it is accepted or
// c.wait has passed. Without a wait it makes no calls to other hosts.
func (h *Handler) awaitInForce(ctx context.Context, inst Instance, c changeRequest) Outcome {
	if c.wait == 0 {
		return newOutcome(inst, c.operation, h.opts.Config.KnownProgress(inst.Version))
	}
	deadline := time.Now().Add(c.wait)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(time.Second))
	defer cancel()
	for {
		o := newOutcome(inst, c.operation, h.opts.Config.Progress(ctx, inst.Version))
		if o.State == StateAccepted || ctx.Err() != nil || !time.Now().Before(deadline) {
			return o
		}
		select {
		case <-time.After(progressPollInterval):
		case <-ctx.Done():
		}
	}
}

// serveProgress reports whether a stored version is in force.
func (h *Handler) serveProgress(w http.ResponseWriter, r *http.Request) {
	c, err := parseChange(r)
	if err == nil && c.version == 0 {
		err = c.invalidError("version must be given")
	}
	if err != nil {
		writeReadError(w, err)
		return
	}
	c.operation = ""
	o := h.awaitInForce(r.Context(), Instance{Name: c.name, Version: c.version}, c)
	writeJSON(w, o.httpStatus(), o)
}
