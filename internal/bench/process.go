package bench

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// process is a child process of the benchmark, pinned to one core.
type process struct {
	command *exec.Cmd
	stdin   io.Closer // closing it ends the process
	address string
}

// startProcess starts this program as a process of the given kind on one core. It returns when the process listens.
func startProcess(core int, kind processKind, backend string) (*process, error) {
	command := exec.Command(os.Args[0], "bench-process", string(kind), backend)
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	command.Stderr = os.Stderr
	stdin, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	err = startOnCore(command, core)
	if err != nil {
		return nil, err
	}
	started := &process{command: command, stdin: stdin}
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		started.stop()
		return nil, fmt.Errorf("read the address of the %s process: %w", kind, err)
	}
	started.address = strings.TrimSpace(line)
	return started, nil
}

// startOnCore starts a command on one core. A child process inherits the CPU affinity of the thread that starts it.
func startOnCore(command *exec.Cmd, core int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var original unix.CPUSet
	err := unix.SchedGetaffinity(0, &original)
	if err != nil {
		return err
	}
	var pinned unix.CPUSet
	pinned.Set(core)
	err = unix.SchedSetaffinity(0, &pinned)
	if err != nil {
		return err
	}
	defer func() { _ = unix.SchedSetaffinity(0, &original) }()
	return command.Start()
}

// avoidMeasuredCores restricts all threads of this process, which runs the load, to firstFreeCore and higher cores. On a
// machine without such cores it does nothing.
func avoidMeasuredCores() error {
	var free unix.CPUSet
	for core := firstFreeCore; core < runtime.NumCPU(); core++ {
		free.Set(core)
	}
	if free.Count() == 0 {
		return nil
	}
	tasks, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return err
	}
	for _, task := range tasks {
		threadID, err := strconv.Atoi(task.Name())
		if err != nil {
			continue
		}
		err = unix.SchedSetaffinity(threadID, &free)
		if err != nil {
			return err
		}
	}
	return nil
}

// stop ends the process and waits for it. Errors are ignored, since the process is no longer measured.
func (p *process) stop() {
	_ = p.stdin.Close()
	_ = p.command.Wait()
}

// Indices of the CPU times in /proc/PID/stat, counted after the command name, and their unit; see proc(5).
const (
	statUserTime   = 11
	statSystemTime = 12
	clockTick      = 10 * time.Millisecond
)

// cpuTime returns the CPU time that the process has used, 0 if it is unknown.
func (p *process) cpuTime() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	// The command name is in parentheses and may contain spaces.
	afterName := string(text[strings.LastIndexByte(string(text), ')')+1:])
	fields := strings.Fields(afterName)
	user, _ := strconv.Atoi(fields[statUserTime])
	system, _ := strconv.Atoi(fields[statSystemTime])
	return time.Duration(user+system) * clockTick
}

// residentBytes returns the size of the process's resident set in bytes, 0 if it is unknown.
func (p *process) residentBytes() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	var kibibytes int
	_, _ = fmt.Sscan(rest, &kibibytes)
	return kibibytes << 10
}
