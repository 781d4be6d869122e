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

const (
	ringBufferLines = 10000                 // capacity of the log's ring buffer; if it is full, lines are dropped
	logPollInterval = 10 * time.Millisecond // time between two checks of the ring buffer for new lines; bounds how late a line is written
)

// logFile is the log and its destination. A goroutine takes lines from a ring buffer and writes them, so that the
// event loop never waits for the disk.
type logFile struct {
	logger  zerolog.Logger
	ring    diode.Writer
	file    *os.File // nil if the log goes to standard error
	dropped atomic.Uint64
}

// openLog opens the log file of the configuration at configPath. If the configuration has no log file, lines go to
// stderr.
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
	l.ring = diode.NewWriter(nopCloser{out}, ringBufferLines, logPollInterval, func(missed int) {
		l.dropped.Add(uint64(missed))
		// The ring buffer has overflowed, so the warning bypasses it.
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

// openLogFile opens a file for appending. A relative name is relative to the configuration's directory.
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

// nopCloser hides the Close method of a writer. Closing the ring buffer would otherwise close standard error.
type nopCloser struct{ io.Writer }

// Close implements io.Closer. It does nothing.
func (nopCloser) Close() error { return nil }
