package eventloop

import "golang.org/x/sys/unix"

// poller is a level-triggered epoll instance (epoll(7)).
type poller struct{ fd int }

func openPoller() (poller, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	return poller{fd: fd}, err
}

// add starts to watch a descriptor for events.
func (p poller) add(fd int, events uint32) error {
	event := unix.EpollEvent{Events: events, Fd: int32(fd)}
	return unix.EpollCtl(p.fd, unix.EPOLL_CTL_ADD, fd, &event)
}

// modify changes the events that a descriptor is watched for.
func (p poller) modify(fd int, events uint32) error {
	event := unix.EpollEvent{Events: events, Fd: int32(fd)}
	return unix.EpollCtl(p.fd, unix.EPOLL_CTL_MOD, fd, &event)
}

// remove stops watching a descriptor. The error is ignored, as the system call fails only if the
// descriptor is not watched.
func (p poller) remove(fd int) {
	_ = unix.EpollCtl(p.fd, unix.EPOLL_CTL_DEL, fd, nil)
}

// wait blocks until there are events or timeout milliseconds have passed. -1 means no time-out.
func (p poller) wait(events []unix.EpollEvent, timeout int) (int, error) {
	return unix.EpollWait(p.fd, events, timeout)
}

// poll is wait without blocking. If it reports false, the call failed and events is unchanged.
func (p poller) poll(events []unix.EpollEvent) (n int, ok bool) { return pollEvents(p.fd, events) }

func (p poller) close() { closeDescriptor(p.fd) }
