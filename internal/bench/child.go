package bench

import (
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

// anyLoopbackPort is an address to listen on whose port the kernel picks.
const anyLoopbackPort = "127.0.0.1:0"

// profileVariable is an environment variable with a path: each process writes a CPU profile
// to it, with its kind added. MARTENLOCK_PROFILE=/tmp/p martenlock bench
const profileVariable = "MARTENLOCK_PROFILE"

// Child runs one of the processes that Run starts, of a kind (backend, router or proxy) and
// before a backend's address. It prints where it listens and ends with its standard input.
func Child(kind, backend string) error {
	address, cleanUp, err := startChild(processKind(kind), backend)
	if err != nil {
		return err
	}
	defer cleanUp()
	stopProfile, err := startProfile(kind)
	if err != nil {
		return err
	}
	defer stopProfile()
	fmt.Println(address)
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

// startChild starts what a process runs, and returns its address and what to do at its end.
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
		err = fmt.Errorf("no such process: %q", kind)
	}
	return address, cleanUp, err
}

// routerSettings are the router's settings. Coalescing is off: the load is one request over
// and over, and each is to be forwarded.
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

// filePermissions are those of the router's files.
const filePermissions = 0o644

// startRouter starts the router in this process. cleanUp removes its files.
func startRouter(backend string) (address string, cleanUp func(), err error) {
	serve.TuneCollector()
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

// maxProxyIdleConnections are kept by ReverseProxy, so that it opens no connection for each
// request; above the clients of any measurement.
const maxProxyIdleConnections = 4096

// startProxy starts net/http/httputil.ReverseProxy in this process, set up as its users do
// for speed: connections are kept, buffers reused, streams flushed at once.
func startProxy(backend string) (address string, err error) {
	serve.TuneCollector()
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

// proxyBufferBytes is the size of ReverseProxy's own buffers.
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

// startProfile starts a CPU profile where profileVariable asks for one.
func startProfile(kind string) (stop func(), err error) {
	path := os.Getenv(profileVariable)
	if path == "" {
		return func() {}, nil
	}
	file, err := os.Create(path + "." + kind)
	if err != nil {
		return nil, err
	}
	err = pprof.StartCPUProfile(file)
	if err != nil {
		file.Close()
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		file.Close()
	}, nil
}
