// Package vmap is the I/O-free core of a replicated map of versioned objects with a
// single source. Every change has a version from one increasing counter. Replicas
// learn of changes from the source or from each other; changes may arrive out of
// order, late, more than once, or never.
//
// The version of a name never decreases in a replica: a change is applied only if
// its version is larger than the one held for that name. Three types build on this:
//
//   - Map holds the objects. Its floor is the version up to which it is complete. If
//     the map lacks a name, any change of that name at or below the floor must have
//     been followed by a deletion, so tombstones need not be kept forever.
//   - Freshness determines until when a replica may rely on its state.
//   - PropagationTracker determines when a change is in force: no replica can still
//     act on an older state.
//
// Times are durations since a process-local origin; see package coord.
package vmap
