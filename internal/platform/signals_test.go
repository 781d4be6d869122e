package platform

import (
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain runs the process as a router or an engine if a test has started it as one, and otherwise runs the tests.
func TestMain(m *testing.M) {
	if behavior := os.Getenv(engineProcessVariable); behavior != "" {
		runEngineProcess(behavior)
		os.Exit(1)
	}
	if os.Getenv(routerProcessVariable) == "" {
		os.Exit(m.Run())
	}
	if err := Serve(os.Getenv, os.Stderr); err != nil {
		os.Stderr.WriteString(err.Error())
		os.Exit(1)
	}
	os.Exit(0)
}

// TestSignalsAlwaysEndWithExitCodeZero: the process exits with 0 after SIGTERM, even if signals arrive while it reads its
// configuration. The configuration is a named pipe, so the test controls how long the process reads it.
func TestSignalsAlwaysEndWithExitCodeZero(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"once": {syscall.SIGTERM}, "twice": {syscall.SIGTERM, syscall.SIGTERM},
		"after a reload": {syscall.SIGHUP, syscall.SIGTERM}, "before and after a reload": {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := startHarness(t, "r1", "w1")
			text, err := os.ReadFile(h.configPath)
			if err != nil {
				t.Fatal(err)
			}
			pipe := h.configPath + ".pipe"
			if err := syscall.Mkfifo(pipe, 0o600); err != nil {
				t.Fatal(err)
			}
			var log strings.Builder
			command := startServeProcess(t, pipe, &log)
			ended := make(chan error, 1)
			go func() { ended <- command.Wait() }()

			f, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the process reads its configuration, after signal.Notify
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range signals {
				if err := command.Process.Signal(s); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := f.Write(text); err != nil {
				t.Fatal(err)
			}
			f.Close()

			select {
			case err := <-ended:
				if err != nil {
					t.Errorf("exit: %v, want code 0; log: %s", err, log.String())
				}
			case <-time.After(15 * time.Second):
				_ = command.Process.Kill()
				t.Errorf("the process did not exit within 15 s; log: %s", log.String())
			}
		})
	}
}

// startServeProcess starts a router process with the configuration at configPath. Its standard error goes to log.
func startServeProcess(t *testing.T, configPath string, log io.Writer) *exec.Cmd {
	t.Helper()
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(executable)
	command.Env = append(os.Environ(), routerProcessVariable+"=1", "PROXY_CONFIG="+configPath)
	command.Stderr = log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	return command
}
