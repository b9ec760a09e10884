// Package panics keeps a panic in the handling of one message or in one round of planning from ending the process, with all
// requests in progress there.
package panics

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/sirupsen/logrus"
)

var contained atomic.Bool

// Contain makes Recover recover from panics. Without it, as in tests, panics end the process.
func Contain() { contained.Store(true) }

// maxStackBytes limits the stack in a log line.
const maxStackBytes = 4 << 10

// Recover is to be deferred. It logs a panic and calls then, which may be nil. It is for code that changes nothing
// outside it, or holds its locks by deferred unlocks.
func Recover(log logrus.FieldLogger, in string, then func()) {
	if !contained.Load() {
		return
	}
	p := recover()
	if p == nil {
		return
	}
	stack := debug.Stack()
	log.WithFields(logrus.Fields{"event": "panic", "in": in, "stack": string(stack[:min(len(stack), maxStackBytes)])}).Error("panic: " + fmt.Sprint(p))
	if then != nil {
		then()
	}
}
