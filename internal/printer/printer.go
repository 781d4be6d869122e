// Package printer prints long texts, such as reports, and lets the caller check for write errors once, at the end.
package printer

import (
	"fmt"
	"io"
)

// Printer prints formatted text to a writer. It keeps the writer's first error and prints nothing more after it. It is
// not safe for concurrent use.
type Printer struct {
	out io.Writer
	err error // first error of out
}

// New returns a Printer that writes to out. The caller should check Err after the last Printf.
func New(out io.Writer) *Printer { return &Printer{out: out} }

// Printf prints formatted text as fmt.Fprintf does. It does nothing if an earlier call failed.
func (p *Printer) Printf(format string, args ...any) {
	if p.err != nil {
		return
	}
	_, p.err = fmt.Fprintf(p.out, format, args...)
}

// Err returns the writer's first error, or nil if all calls of Printf succeeded.
func (p *Printer) Err() error { return p.err }
