package configcheck

import (
	"context"
	"fmt"
	"io"
)

// Document is a configuration in some format.
type Document interface {
	Config() Config
	// Locate returns the path and the line of a place, as in the document.
	Locate(Place) (path string, line int)
	// Name returns the document's name of a field of the types in package fleet.
	Name(field string) string
}

// Format reads documents.
type Format interface {
	Parse(data []byte) (Document, error)
	// InForce reads the configuration that the store at an address, IP:port, holds.
	InForce(ctx context.Context, address string) (Document, error)
}

// Report writes the findings on a document, and how it differs from the one in force, if there is one. It returns the
// number of errors.
func Report(out io.Writer, name string, next, inForce Document) (errors int) {
	findings := Check(next.Config())
	var changes []Change
	if inForce != nil {
		var more []Finding
		changes, more = Diff(inForce.Config(), next.Config(), next.Name)
		findings = append(findings, more...)
	}
	for _, f := range findings {
		path, line := next.Locate(f.Place)
		fmt.Fprintf(out, "%s:%d: %s: %s: %s\n", name, line, f.Level, path, f.Message)
		if f.Level == Error {
			errors++
		}
	}
	fmt.Fprintf(out, "%s: %d errors, %d warnings\n", name, errors, len(findings)-errors)
	if inForce == nil {
		return errors
	}
	fmt.Fprintf(out, "differences from version %d, which is in force: %d\n", inForce.Config().Version, len(changes))
	for _, c := range changes {
		fmt.Fprintf(out, "  %s %s\n", c.Entry, c.Kind)
		for _, f := range c.Fields {
			fmt.Fprintf(out, "    %s\n", f)
		}
	}
	return errors
}
