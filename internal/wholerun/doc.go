// Package wholerun holds the randomised run of the whole: the real duties of
// several entry hosts in one process and in fake time, over stand-ins of all
// outside systems, with faults together and twice. It has test files only.
//
// Run one seed again with
//
//	go test ./internal/wholerun -run WholeRun -wholerun.seed 17
//
// docs/INVARIANTS.md names for each invariant its mechanism, its assertion and
// its test; docs/design/whole-run.md says what is simulated and what is not.
package wholerun
