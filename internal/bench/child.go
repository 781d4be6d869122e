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

// processKind is the server that a process of the benchmark runs.
type processKind string

const (
	backendProcess processKind = "backend"
	routerProcess  processKind = "router"
	proxyProcess   processKind = "proxy"
)

// anyLoopbackPort is an address to listen on. The kernel chooses the port.
const anyLoopbackPort = "127.0.0.1:0"

// profileVariable is the environment variable that turns on CPU profiles. With MARTENLOCK_PROFILE=/tmp/p each process
// writes a profile to /tmp/p.KIND.
const profileVariable = "MARTENLOCK_PROFILE"

// RunChild runs one of the processes that Run starts. kind is backend, router or proxy. backend is the address that the router
// and the proxy forward to. RunChild prints the address that it listens on and returns at the end of standard input.
func RunChild(kind, backend string) (err error) {
	address, cleanUp, err := startServer(processKind(kind), backend)
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

// startServer starts a server of the given kind and returns its address. cleanUp must be called before the process ends.
func startServer(kind processKind, backend string) (address string, cleanUp func(), err error) {
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

// routerSettings are the router's settings. single_flight is off because all requests of the load are identical, and each
// one has to reach the backend.
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

const settingsFilePermissions = 0o644

// startRouter starts the router in this process. cleanUp removes its settings files.
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
	err = os.WriteFile(path, []byte(routerSettings), settingsFilePermissions)
	if err != nil {
		return "", nil, err
	}
	endpoints := "[node b]\npool = p\nkind = one\naddress = " + backend + "\n"
	err = os.WriteFile(filepath.Join(dir, "n.ini"), []byte(endpoints), settingsFilePermissions)
	if err != nil {
		return "", nil, err
	}
	service, err := serve.Start(path, os.Stderr)
	if err != nil {
		return "", nil, err
	}
	return service.Router.Addr(), cleanUp, nil
}

// maxProxyIdleConnections is above the number of clients of any measurement, so that ReverseProxy can reuse every
// connection to the backend.
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

// startProfile starts a CPU profile if the environment sets profileVariable. stop ends the profile and closes its file.
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
