package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// SilentTargetError reports a send that its host ended, since the target or the host that it was passed on to sent nothing and there
// is another place for the request. It is context.Canceled, as no fault of the target was seen.
type SilentTargetError struct {
	Silence time.Duration
	CutOff  bool // less silence was allowed, since this host had lost its way to all targets
}

func (e *SilentTargetError) Error() string {
	if e.CutOff {
		return fmt.Sprintf("silent for %v, and this host is cut off", e.Silence.Round(time.Millisecond))
	}
	return fmt.Sprintf("silent for %v", e.Silence.Round(time.Millisecond))
}

// Is reports whether target is context.Canceled.
func (*SilentTargetError) Is(target error) bool { return target == context.Canceled }

// isSilence reports whether a send was ended because of a silence.
func isSilence(err error) bool {
	var silent *SilentTargetError
	return errors.As(err, &silent)
}

// StopOverError reports a request that was still in progress at the end of a planned stop. It is context.Canceled.
type StopOverError struct{}

func (*StopOverError) Error() string { return "the planned stop of this host is over" }

// Is reports whether target is context.Canceled.
func (*StopOverError) Is(target error) bool { return target == context.Canceled }
