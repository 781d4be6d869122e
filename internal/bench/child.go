package bench

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"runtime/pprof"
	"sync"

	"martenlock/internal/serve"
)

// processKind is what a process of the benchmark runs.
type processKind string

// The kinds of processes.
const (
	backendProcess processKind = "backend"
	routerProcess  processKind = "router"
	proxyProcess   processKind = "proxy"
)

// anyLoopbackPort is an address to listen on. The kernel chooses the port.
const anyLoopbackPort = "127.0.0.1:0"

// profileVariable names an environment variable with a path. Each process writes a CPU profile to that path with its kind
// appended: MARTENLOCK_PROFILE=/tmp/p martenlock bench
const profileVariable = "MARTENLOCK_PROFILE"

// Child runs one of the processes that Run starts. kind is backend, router or proxy; backend is the address that the
// latter two forward to. Child prints its own address and returns at the end of its standard input.
func Child(kind, backend string) (err error) {
	address, cleanUp, err := startChild(processKind(kind), backend)
	if err != nil {
		return err
	}
	defer cleanUp()
	stopProfile, err := startProfile(kind)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, stopProfile()) }()
	fmt.Println(address)
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

// startChild starts a process's server. It returns the address and a function to call at the process's end.
func startChild(kind processKind, backend string) (address string, cleanUp func(), err error) {
	cleanUp = func() {}
	switch kind {
	case backendProcess:
		address, err = startBackend()
	case routerProcess:
		return startRouter(backend)
	case proxyProcess:
		address, err = startProxy(backend)
	default:
		err = fmt.Errorf("unknown process kind %q", kind)
	}
	return address, cleanUp, err
}

// routerSettings are the router's settings. Coalescing is off, since the load repeats one request and each is to be
// forwarded.
const routerSettings = `[router]
listen = 127.0.0.1:0
nodes = n.ini
log_level = error
max_connections = 15000
[limits]
idle = 10m
[rules]
probe = false
[kind one]
role = mixed
[class c]
aim = 2s
deadline = 10s
[pool p]
apis = chat, embeddings
class = c
single_flight = false
`

// filePermissions are the permissions of the router's files.
const filePermissions = 0o644

// startRouter starts the router in this process. cleanUp removes the router's files.
func startRouter(backend string) (address string, cleanUp func(), err error) {
	serve.TuneGC()
	dir, err := os.MkdirTemp("", "martenlock-bench-")
	if err != nil {
		return "", nil, err
	}
	cleanUp = func() { _ = os.RemoveAll(dir) }
	defer func() {
		if err != nil {
			cleanUp()
		}
	}()
	path := filepath.Join(dir, "r.ini")
	err = os.WriteFile(path, []byte(routerSettings), filePermissions)
	if err != nil {
		return "", nil, err
	}
	endpoints := "[node b]\npool = p\nkind = one\naddress = " + backend + "\n"
	err = os.WriteFile(filepath.Join(dir, "n.ini"), []byte(endpoints), filePermissions)
	if err != nil {
		return "", nil, err
	}
	running, err := serve.Start(path, os.Stderr)
	if err != nil {
		return "", nil, err
	}
	return running.Router.Addr(), cleanUp, nil
}

// maxProxyIdleConnections is above the clients of any measurement, so that ReverseProxy does not open a connection for
// each request.
const maxProxyIdleConnections = 4096

// startProxy starts net/http/httputil.ReverseProxy in this process, configured for speed: it keeps connections, reuses
// buffers and flushes streams at once.
func startProxy(backend string) (address string, err error) {
	serve.TuneGC()
	target, err := url.Parse("http://" + backend)
	if err != nil {
		return "", err
	}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.Transport = &http.Transport{
		MaxIdleConns:        maxProxyIdleConnections,
		MaxIdleConnsPerHost: maxProxyIdleConnections,
		DisableCompression:  true,
	}
	proxy.FlushInterval = -1
	proxy.BufferPool = &bufferPool{}
	listener, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, proxy) }()
	return listener.Addr().String(), nil
}

// proxyBufferBytes is the size of the buffers that ReverseProxy allocates without a pool.
const proxyBufferBytes = 32 << 10

// bufferPool reuses ReverseProxy's buffers. It implements httputil.BufferPool.
type bufferPool struct{ pool sync.Pool }

// Get implements httputil.BufferPool.
func (b *bufferPool) Get() []byte {
	buffer, hasBuffer := b.pool.Get().(*[]byte)
	if hasBuffer {
		return *buffer
	}
	return make([]byte, proxyBufferBytes)
}

// Put implements httputil.BufferPool.
func (b *bufferPool) Put(buffer []byte) { b.pool.Put(&buffer) }

// startProfile starts a CPU profile if profileVariable is set. stop ends the profile and closes its file.
func startProfile(kind string) (stop func() error, err error) {
	path := os.Getenv(profileVariable)
	if path == "" {
		return func() error { return nil }, nil
	}
	file, err := os.Create(path + "." + kind)
	if err != nil {
		return nil, err
	}
	err = pprof.StartCPUProfile(file)
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return func() error {
		pprof.StopCPUProfile()
		return file.Close()
	}, nil
}
