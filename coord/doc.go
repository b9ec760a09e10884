// Package coord is the root of buckthornseam's coordination library.
//
// Each sub-package holds one deterministic core. A core has no sockets, no
// timers, no goroutines and no clock: the caller passes in the current time
// and the messages that arrived, and the core returns the messages to send,
// the writes to perform and the decisions taken. The same code therefore runs
// in a daemon, under testing/synctest and in a randomised run.
//
// Time is passed as a time.Duration since an arbitrary, process-local origin
// and must come from a monotonic clock. Cores never compare the clocks of two
// hosts.
package coord
