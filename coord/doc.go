// Package coord is the root of buckthornseam's coordination library and holds no
// code itself.
//
// Each sub-package holds a deterministic, I/O-free core. A core has no sockets,
// timers, goroutines or clock: the caller passes in the current time and the
// messages that arrived, and the core returns the messages to send, the writes to
// perform and the decisions made. The same code therefore runs in the daemon,
// under testing/synctest and in randomized simulations.
//
// Time is passed as a time.Duration since an arbitrary, process-local origin
// and must come from a monotonic clock. Cores never compare the clocks of two
// hosts.
package coord
