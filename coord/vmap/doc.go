// Package vmap is the core of a replicated map of versioned objects with one
// source: every change carries a version drawn from one rising counter, and
// any number of replicas learn the changes from the source or from each other
// in any order, late, twice or not at all.
//
// A replica never steps back: per name, a change is applied only if its
// version is larger than the one held. Three parts build on that:
//
//   - Map holds the objects. Its floor is the version up to which it is
//     complete, so that a change at or below the floor for a name that the map
//     lacks is known to be deleted, without a tombstone kept for ever.
//   - Freshness answers until when a replica may rely on its state.
//   - InForce answers when a change has certainly reached every replica that
//     may still act on an older state.
//
// Time is a time.Duration since a process-local origin; see package coord.
package vmap
