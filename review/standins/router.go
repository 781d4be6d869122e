package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// router is a process of the router.
type router struct {
	command *exec.Cmd
	address string
	log     *os.File
	exited  chan struct{}
}

// deployLine returns a command of deploy/balancer.toml.
func deployLine(root, key string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"`).FindSubmatch(text)
	if found == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no line %s", key)
	}
	return string(found[1]), nil
}

// startRouter starts a command from the root, as the platform does, and waits until its health check answers 200.
func startRouter(opts options, line, address, healthPath string, env ...string) (*router, error) {
	log, err := os.Create(filepath.Join(opts.temp, fmt.Sprintf("router-%d.log", time.Now().UnixNano())))
	if err != nil {
		return nil, err
	}
	command := exec.Command("/bin/sh", "-c", line)
	command.Dir = opts.root
	command.Env = append(os.Environ(), env...)
	command.Stdout = log
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	r := &router{command: command, address: address, log: log, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(r.exited)
	}()
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+healthPath, nil)
		response, err := http.DefaultTransport.RoundTrip(request)
		cancel()
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return r, nil
			}
		}
		select {
		case <-r.exited:
			text, _ := os.ReadFile(log.Name())
			return nil, fmt.Errorf("the router ended: %s", text)
		case <-time.After(50 * time.Millisecond):
		}
	}
	r.kill()
	return nil, fmt.Errorf("the router was not ready within 10 s")
}

func (r *router) signal(s syscall.Signal) { _ = r.command.Process.Signal(s) }

// kill ends the process and waits for its end.
func (r *router) kill() {
	r.signal(syscall.SIGKILL)
	<-r.exited
	r.log.Close()
}

// hasExited reports whether the process has ended by itself.
func (r *router) hasExited() bool {
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
