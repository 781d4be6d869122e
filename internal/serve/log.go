package serve

import (
	"errors"
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

// Bounds of the log's ring buffer.
const (
	maxPendingLines = 10000                 // further lines are dropped: the event loop must not wait for the disk
	logPollInterval = 10 * time.Millisecond // between two checks for new lines; bounds how late a line is written
)

// logFile is the log and its destination. A ring buffer hands lines to a goroutine that writes them, so that logging
// never blocks the event loop.
type logFile struct {
	logger  zerolog.Logger
	ring    diode.Writer
	file    *os.File // nil if the log goes to standard error
	dropped atomic.Uint64
}

// openLog opens the log that the configuration names. configPath is the configuration's own path. Without a log file in
// the configuration, lines go to stderr.
func openLog(c *config.Config, configPath string, stderr io.Writer) (*logFile, error) {
	l := &logFile{}
	out := stderr
	if c.LogPath != "" {
		file, err := openLogFile(c.LogPath, configPath)
		if err != nil {
			return nil, err
		}
		l.file = file
		out = file
	}
	l.ring = diode.NewWriter(nopCloser{out}, maxPendingLines, logPollInterval, func(missed int) {
		l.dropped.Add(uint64(missed))
		// The ring is full, so the warning bypasses it.
		direct := zerolog.New(out)
		direct.Warn().Msgf("%d log lines dropped, %d in all", missed, l.dropped.Load())
	})
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return nil, err
	}
	l.logger = zerolog.New(l.ring).Level(level).With().Timestamp().Logger()
	return l, nil
}

// openLogFile opens a file for appending. A relative name is relative to the configuration's folder.
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

// Close writes the pending lines and closes the file.
func (l *logFile) Close() error {
	err := l.ring.Close()
	if l.file != nil {
		err = errors.Join(err, l.file.Close())
	}
	return err
}

// nopCloser hides a writer's Close method from the ring, which would close standard error.
type nopCloser struct{ io.Writer }

// Close implements io.Closer. It does nothing.
func (nopCloser) Close() error { return nil }
