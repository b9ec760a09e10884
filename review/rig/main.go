// The program rig plays one case of the review against the project's daemons.
package main

import (
	"fmt"
	"os"
)

// callerHost is the host name of all routes.
const callerHost = "ficu95.example"

// scenarios are the cases, by name. Each returns what broke the rule, or nothing.
var scenarios = map[string]func(r *rig, trouble bool) (broken []string){}

// cannotRun ends the case with the exit code for one that could not run.
func cannotRun(format string, args ...any) { panic(notRun(fmt.Sprintf(format, args...))) }

type notRun string

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO FOLDER, in the repository's root")
		os.Exit(2)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(scenario func(r *rig, trouble bool) []string, folder string) (code int) {
	r := newRig(folder)
	defer r.close()
	defer func() {
		if cause := recover(); cause != nil {
			r.note("the case could not run: %v", cause)
			fmt.Println("the case could not run:", cause)
			code = 2
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("with the disruption: %v", trouble)
	broken := scenario(r, trouble)
	for _, b := range broken {
		r.note("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(broken) > 0 {
		return 1
	}
	r.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
