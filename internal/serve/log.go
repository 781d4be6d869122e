package serve

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"martenlock/internal/config"
	"martenlock/internal/inifile"
)

// The log's ring. The loop must not wait for the disk.
const (
	maxPendingLines = 10000                 // later ones are dropped and counted
	logPollInterval = 10 * time.Millisecond // between two looks for new lines
)

// logFile is the log and where it is written. Lines cross to another goroutine in a ring that
// never blocks the loop.
type logFile struct {
	logger  zerolog.Logger
	ring    diode.Writer
	file    *os.File // nil where the log goes to standard error
	dropped atomic.Uint64
}

// openLog opens the log that the configuration at path names.
func openLog(c *config.Config, path string, stderr io.Writer) (*logFile, error) {
	l := &logFile{}
	out := stderr
	if c.LogPath != "" {
		file, err := openLogFile(c.LogPath, path)
		if err != nil {
			return nil, err
		}
		l.file = file
		out = file
	}
	l.ring = diode.NewWriter(uncloseable{out}, maxPendingLines, logPollInterval, func(missed int) {
		l.dropped.Add(uint64(missed))
		fmt.Fprintf(out, "{\"level\":\"warn\",\"message\":\"%d log lines dropped, %d in all\"}\n", missed, l.dropped.Load())
	})
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return nil, err
	}
	l.logger = zerolog.New(l.ring).Level(level).With().Timestamp().Logger()
	return l, nil
}

// openLogFile opens a file to append to. A relative name is one beside the configuration.
func openLogFile(name, configPath string) (*os.File, error) {
	if !filepath.IsAbs(name) {
		name = filepath.Join(filepath.Dir(configPath), name)
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, &inifile.Error{File: configPath, Section: "[router]", Key: "log", Err: err}
	}
	return file, nil
}

// Close writes what is pending and closes the file.
func (l *logFile) Close() error {
	err := l.ring.Close()
	if l.file != nil {
		err = errors.Join(err, l.file.Close())
	}
	return err
}

// uncloseable hides a writer's Close from the ring, which would close standard error.
type uncloseable struct{ io.Writer }

// Close implements io.Closer. It does nothing.
func (uncloseable) Close() error { return nil }
