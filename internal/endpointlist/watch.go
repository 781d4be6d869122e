package endpointlist

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"unsafe"

	"golang.org/x/sys/unix"
)

// inotifyBufferBytes is the size of the buffer for events. It must hold at least one event with the longest
// file name.
const inotifyBufferBytes = 64 << 10

// Watcher calls a function each time that a file has been written or replaced.
type Watcher struct {
	inotify *os.File
	changed func()
	done    chan struct{} // closed when the goroutine has ended
}

// Watch starts to watch the file at path with inotify(7). The Watcher calls changed, on its own goroutine,
// each time that a writer has closed the file or another file has been renamed to path. It does not call
// changed while the file is being written, because part of a list can be a valid list.
func Watch(path string, changed func()) (*Watcher, error) {
	fd, err := unix.InotifyInit1(unix.IN_CLOEXEC | unix.IN_NONBLOCK)
	if err != nil {
		return nil, fmt.Errorf("watch %s: %w", path, err)
	}
	// The watch is on the directory, since one on the file would end when another file replaces it.
	_, err = unix.InotifyAddWatch(fd, filepath.Dir(path), unix.IN_CLOSE_WRITE|unix.IN_MOVED_TO)
	if err != nil {
		_ = unix.Close(fd) // the error of InotifyAddWatch is returned instead
		return nil, fmt.Errorf("watch %s: %w", path, err)
	}
	w := &Watcher{inotify: os.NewFile(uintptr(fd), "inotify"), changed: changed, done: make(chan struct{})}
	go w.run(filepath.Base(path))
	return w, nil
}

// run reads events until the watcher is closed or a read fails.
func (w *Watcher) run(fileName string) {
	defer close(w.done)
	buffer := make([]byte, inotifyBufferBytes)
	for {
		n, err := w.inotify.Read(buffer)
		if errors.Is(err, os.ErrClosed) || n <= 0 {
			return
		}
		if mayHaveChanged(buffer[:n], fileName) {
			w.changed()
		}
	}
}

// mayHaveChanged reports whether one of the events is about the file or says that events were lost.
func mayHaveChanged(events []byte, fileName string) bool {
	for len(events) >= unix.SizeofInotifyEvent {
		event := (*unix.InotifyEvent)(unsafe.Pointer(&events[0]))
		end := unix.SizeofInotifyEvent + int(event.Len)
		name, _, _ := bytes.Cut(events[unix.SizeofInotifyEvent:end], []byte{0}) // padded with zeros
		if string(name) == fileName || event.Mask&unix.IN_Q_OVERFLOW != 0 {
			return true
		}
		events = events[end:]
	}
	return false
}

// Close ends the watch. It waits until a call of changed that is in progress has returned. No more calls
// follow.
func (w *Watcher) Close() error {
	err := w.inotify.Close()
	<-w.done
	return err
}
