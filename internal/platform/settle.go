package platform

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
)

// Waits between the steps of a settlement.
const (
	settleBackoff = 100 * time.Millisecond // doubled after each step
	settleLimit   = 2 * time.Second
)

// SupersededError reports a write whose answer was lost and whose object was
// changed by another writer before it could be read back: the write may have
// been stored for a while, and is not stored now.
type SupersededError struct {
	Kind     Kind
	Name     string
	Expected Version // version that the write was to replace
	Found    Version // version stored now, 0 if the object does not exist
	OpID     string  // id of the write
}

func (e *SupersededError) Error() string {
	return "write " + e.OpID + " to " + string(e.Kind) + "/" + e.Name + " was lost or superseded"
}

// PutConfirmed is Put with a lost answer followed up until the outcome is known.
// It reads the object back and compares OpID; while the object is unchanged it
// writes again with the same precondition and OpID, so that the first write,
// if it is still under way, either is the one that counts or fails.
//
// It fails like Put, with *SupersededError, or with *UnknownOutcomeError if ctx
// ends first.
func PutConfirmed(ctx context.Context, api API, obj Object) (Object, error) {
	if obj.OpID == "" {
		obj.OpID = uuid.NewString()
	}
	stored, err := api.Put(ctx, obj)
	for backoff := settleBackoff; isUnknown(err); backoff = min(2*backoff, settleLimit) {
		if !wait(ctx, backoff) {
			return Object{}, err
		}
		stored, err = settlePut(ctx, api, obj, err)
	}
	return stored, err
}

// settlePut performs one step after a lost answer. It returns unknown as long
// as the outcome is not certain.
func settlePut(ctx context.Context, api API, obj Object, unknown error) (Object, error) {
	current, err := api.Get(ctx, obj.Kind, obj.Name)
	var notFound *NotFoundError
	switch {
	case errors.As(err, &notFound):
		current = Object{}
	case err != nil:
		return Object{}, unknown
	}
	if current.OpID == obj.OpID {
		return current, nil
	}
	if current.Version != obj.Version {
		return Object{}, &SupersededError{Kind: obj.Kind, Name: obj.Name, Expected: obj.Version, Found: current.Version, OpID: obj.OpID}
	}
	stored, err := api.Put(ctx, obj)
	if err == nil {
		return stored, nil
	}
	// Whatever this write met, the first one may have been stored in the
	// meantime: only the next reading tells.
	return Object{}, unknown
}

// DeleteConfirmed is Delete with a lost answer followed up until the outcome is
// known. An object that is gone afterwards counts as deleted, whoever did it.
func DeleteConfirmed(ctx context.Context, api API, kind Kind, name string, version Version) error {
	err := api.Delete(ctx, kind, name, version)
	for backoff := settleBackoff; isUnknown(err); backoff = min(2*backoff, settleLimit) {
		if !wait(ctx, backoff) {
			return err
		}
		err = settleDelete(ctx, api, kind, name, version, err)
	}
	return err
}

func settleDelete(ctx context.Context, api API, kind Kind, name string, version Version, unknown error) error {
	current, err := api.Get(ctx, kind, name)
	var notFound *NotFoundError
	switch {
	case errors.As(err, &notFound):
		return nil
	case err != nil:
		return unknown
	case current.Version != version:
		return &SupersededError{Kind: kind, Name: name, Expected: version, Found: current.Version}
	}
	if err := api.Delete(ctx, kind, name, version); err == nil {
		return nil
	}
	return unknown
}

func isUnknown(err error) bool {
	var unknown *UnknownOutcomeError
	return errors.As(err, &unknown)
}

// wait waits for d and reports whether ctx still holds.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
