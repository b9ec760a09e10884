//go:build ignore

package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(trouble bool) bool{"bodies": caseBodies, "revoke": caseRevoke, "inplace": caseInPlace}

// main plays a case: NAME RECORD. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(2)
	}
	openRecord(os.Args[2])
	dir, err := os.MkdirTemp("", "review-3-")
	must(err)
	tempDir = dir
	held := cases[os.Args[1]](os.Getenv("TROUBLE") != "0")
	stopAll()
	closeRecord()
	if !held {
		os.Exit(1)
	}
}
