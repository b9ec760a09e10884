// Package wholerun holds a randomised simulation test of the whole system. Several
// entry hosts run their real code in one process and in fake time, with stand-ins
// for all outside systems. Faults are injected, also several at once and the same
// one twice. The package has test files only.
//
// To run one seed again:
//
//	go test ./internal/wholerun -run WholeRun -wholerun.seed 17
//
// docs/INVARIANTS.md lists the mechanism, the assertion and the test of each
// invariant. docs/design/whole-run.md describes what is simulated and what is not.
package wholerun
