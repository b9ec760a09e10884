// Command seamctl is the command-line tool for operators and testers.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"buckthornseam.dev/seam/internal/ctl"
	"buckthornseam.dev/seam/platform"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	parser, err := ctl.NewParser(os.Stdin, os.Stdout, platform.ConfigFiles{})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ctl.ExitFailed
	}
	_, err = parser.ParseArgs(args)
	if err == nil {
		return ctl.ExitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Println(usage.Message)
		return ctl.ExitOK
	}
	fmt.Fprintln(os.Stderr, "seamctl:", err)
	return ctl.ExitCode(err)
}
