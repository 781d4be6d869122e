package printer_test

import (
	"bytes"
	"errors"
	"testing"

	"martenlock/internal/printer"
)

// limitedWriter fails once no writes are left.
type limitedWriter struct {
	bytes.Buffer
	writesLeft int
}

var errFull = errors.New("writer is full")

// Write implements io.Writer.
func (w *limitedWriter) Write(text []byte) (int, error) {
	if w.writesLeft == 0 {
		return 0, errFull
	}
	w.writesLeft--
	return w.Buffer.Write(text)
}

func TestPrinterStopsAtFirstError(t *testing.T) {
	out := &limitedWriter{writesLeft: 1}
	report := printer.New(out)

	report.Printf("%d rounds\n", 5)
	if report.Err() != nil {
		t.Errorf("error %v after a write that succeeded", report.Err())
	}
	report.Printf("lost\n")
	out.writesLeft = 1
	report.Printf("after the error\n")

	if !errors.Is(report.Err(), errFull) {
		t.Errorf("error %v, want %v", report.Err(), errFull)
	}
	if out.String() != "5 rounds\n" {
		t.Errorf("printed %q, want only the text before the error", out.String())
	}
}
