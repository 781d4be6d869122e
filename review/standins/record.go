package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, one line an event, with the time since its start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// logf writes one line.
func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%10.3f ms  ", float64(time.Since(r.start).Microseconds())/1000)
	fmt.Fprintf(r.out, format, args...)
	r.out.WriteByte('\n')
}

// say writes one line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
