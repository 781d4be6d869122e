// Package printer prints reports. A Printer keeps the first error of its writer, so that a report's many lines need one
// check.
package printer

import (
	"fmt"
	"io"
)

// Printer prints formatted text to a writer. After the writer's first error it prints nothing more. It is not safe for
// concurrent use.
type Printer struct {
	out io.Writer
	err error // first error of out
}

// New returns a Printer to the given writer.
func New(out io.Writer) *Printer { return &Printer{out: out} }

// Printf prints formatted text as fmt.Fprintf does, unless an earlier call failed.
func (p *Printer) Printf(format string, args ...any) {
	if p.err != nil {
		return
	}
	_, p.err = fmt.Fprintf(p.out, format, args...)
}

// Err returns the first error of the writer.
func (p *Printer) Err() error { return p.err }
