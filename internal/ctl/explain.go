package ctl

import "buckthornseam.dev/seam/internal/explain"

// explainCommand prints the log events that concern a request.
type explainCommand struct {
	command
	Args struct {
		ID string `positional-arg-name:"ID" description:"the request's id"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	return explain.Explain(c.in, c.out, c.Args.ID)
}
