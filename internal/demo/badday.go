package demo

import (
	"errors"
	"io"

	"martenlock/internal/audit"
)

func BadDay(script, listen, logLevel string, out io.Writer) (*audit.Report, error) {
	return nil, errors.New("the bad day is not there yet")
}
