// Package bench compares the cost of the router with that of net/http/httputil.ReverseProxy. Each runs as a process on one
// core, with the same backend and under the same load.
//
// It does not model serving. The backend responds at once or streams at a fixed rate, all requests of a measurement are
// equal, and clients, backend, router and ReverseProxy share one machine and its loopback interface. The figures show the
// cost of forwarding on this machine. They say nothing about scheduling, engines or a network.
package bench

import (
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"time"

	"martenlock/internal/printer"
)

const (
	// rounds is the number of rounds of each measurement. Each round measures both subjects, so that other load on the
	// machine affects both alike.
	rounds = 5

	embeddingClients = 32   // enough to keep one core busy
	idleConnections  = 4000 // connections whose memory is measured

	// settleDelay is the wait before memory is read, until the process has accepted connections and allocated memory.
	settleDelay = 300 * time.Millisecond

	minCPUTime = time.Millisecond // replaces a measured CPU time of 0; the clock ticks every 10 ms
)

// The cores of the benchmark's processes. The load runs on firstFreeCore and higher cores, if there are any.
const (
	backendCore   = 0
	subjectCore   = 1 // both subjects share it; one is idle while the other is measured
	firstFreeCore = 2
)

// errTooFewCores is returned on a machine with a single core.
var errTooFewCores = errors.New("the benchmark needs at least two CPU cores")

// streamCounts are the numbers of concurrent streams to measure.
var streamCounts = []int{32, 256}

// subjects are the two processes that are compared.
type subjects struct{ router, proxy *process }

// benchmark is a run of all measurements.
type benchmark struct {
	backend   *process
	subjects  subjects
	roundSpan time.Duration // duration of one subject's measurement in a round
	out       *printer.Printer
}

// Run takes all measurements and prints a table. span is the duration of each measurement of a subject, over all rounds.
//
// Run starts the calling program with the arguments bench-process, kind and backend. The program then has to call RunChild.
func Run(span time.Duration, out io.Writer) error {
	if runtime.NumCPU() < firstFreeCore {
		return errTooFewCores
	}
	backend, err := startProcess(backendCore, backendProcess, "-")
	if err != nil {
		return err
	}
	defer backend.stop()
	router, err := startProcess(subjectCore, routerProcess, backend.address)
	if err != nil {
		return err
	}
	defer router.stop()
	proxy, err := startProcess(subjectCore, proxyProcess, backend.address)
	if err != nil {
		return err
	}
	defer proxy.stop()
	err = avoidMeasuredCores()
	if err != nil {
		return err
	}
	b := &benchmark{
		backend:   backend,
		subjects:  subjects{router: router, proxy: proxy},
		roundSpan: span / rounds,
		out:       printer.New(out),
	}
	return b.run()
}

// run takes all measurements, in the order of the table's rows.
func (b *benchmark) run() error {
	b.printHeader()
	err := b.warmUp()
	if err != nil {
		return err
	}
	capacity, err := b.measureEmbeddings()
	if err != nil {
		return err
	}
	for _, streams := range streamCounts {
		err = b.measureStreams(streams)
		if err != nil {
			return err
		}
	}
	err = b.measureLatency(capacity.router/2, "half of martenlock's most")
	if err != nil {
		return err
	}
	err = b.measureLatency(capacity.proxy/2, "half of ReverseProxy's most")
	if err != nil {
		return err
	}
	err = b.measureIdleMemory()
	if err != nil {
		return err
	}
	return b.out.Err()
}

// warmUp lets both subjects open their connections and grow their heaps.
func (b *benchmark) warmUp() error {
	for _, subject := range []*process{b.subjects.router, b.subjects.proxy} {
		_, err := runLoad(loadOptions{address: subject.address, clients: embeddingClients, span: b.roundSpan, request: embeddingRequest})
		if err != nil {
			return err
		}
	}
	return nil
}

// throughput is the rate at which a subject forwards requests or tokens.
type throughput struct {
	perCPUSecond float64 // per second of the subject's CPU time
	perSecond    float64
}

// measureThroughput measures a subject under full load. units is the number of requests or tokens that each response adds
// to the throughput.
func (b *benchmark) measureThroughput(subject *process, clients int, request []byte, units float64) (throughput, error) {
	cpuBefore := subject.cpuTime()
	startedAt := time.Now()
	latencies, err := runLoad(loadOptions{address: subject.address, clients: clients, span: b.roundSpan, request: request})
	if err != nil {
		return throughput{}, err
	}
	forwarded := float64(latencies.Count()) * units
	cpuTime := max(subject.cpuTime()-cpuBefore, minCPUTime)
	return throughput{
		perCPUSecond: forwarded / cpuTime.Seconds(),
		perSecond:    forwarded / time.Since(startedAt).Seconds(),
	}, nil
}

// measureEmbeddings measures short requests with short responses. It returns the median request rate of each subject
// under full load, per second.
func (b *benchmark) measureEmbeddings() (capacity comparison, err error) {
	samples, err := measureRounds(b.subjects, func(subject *process) (throughput, error) {
		return b.measureThroughput(subject, embeddingClients, embeddingRequest, 1)
	})
	if err != nil {
		return comparison{}, err
	}
	capacity = samples.medians(func(t throughput) float64 { return t.perSecond })
	b.printRow("short embeddings, requests a CPU second", samples.medians(func(t throughput) float64 { return t.perCPUSecond }))
	b.printRow(fmt.Sprintf("  requests a second at most, %d clients", embeddingClients), capacity)
	return capacity, nil
}

// measureStreams measures the throughput of tokens on concurrent streams.
func (b *benchmark) measureStreams(streams int) error {
	samples, err := measureRounds(b.subjects, func(subject *process) (throughput, error) {
		return b.measureThroughput(subject, streams, chatRequest, tokensPerStream)
	})
	if err != nil {
		return err
	}
	tokens := samples.medians(func(t throughput) float64 { return t.perCPUSecond })
	b.printRow(fmt.Sprintf("streamed tokens a CPU second, %d streams", streams), tokens)
	return nil
}

// percentiles are percentiles of the latency to the complete response, in microseconds.
type percentiles struct{ p50, p99 float64 }

// latencySample is the latency of the backend alone, and what a subject adds to it, at the same fixed request rate.
type latencySample struct {
	direct percentiles // latency of the backend without a subject
	added  percentiles // latency added by the subject
}

// measureLatency measures the latency that each subject adds at a fixed request rate. label describes the rate.
func (b *benchmark) measureLatency(requestsPerSecond float64, label string) error {
	samples, err := measureRounds(b.subjects, func(subject *process) (latencySample, error) {
		return b.sampleLatency(subject, requestsPerSecond)
	})
	if err != nil {
		return err
	}
	p50 := samples.medians(func(s latencySample) float64 { return s.added.p50 })
	p99 := samples.medians(func(s latencySample) float64 { return s.added.p99 })
	b.printRow(fmt.Sprintf("p50 us added at %.0f/s, %s", requestsPerSecond, label), p50)
	b.printRow(fmt.Sprintf("p99 us added at %.0f/s, %s", requestsPerSecond, label), p99)
	directP50 := samples.median(func(s latencySample) float64 { return s.direct.p50 })
	directP99 := samples.median(func(s latencySample) float64 { return s.direct.p99 })
	b.out.Printf("  without either: p50 %.0f us, p99 %.0f us\n", directP50, directP99)
	return nil
}

// sampleLatency measures the latency of the backend alone, then through the subject.
func (b *benchmark) sampleLatency(subject *process, requestsPerSecond float64) (latencySample, error) {
	direct, err := b.latencyOf(b.backend, requestsPerSecond)
	if err != nil {
		return latencySample{}, err
	}
	through, err := b.latencyOf(subject, requestsPerSecond)
	if err != nil {
		return latencySample{}, err
	}
	added := percentiles{p50: through.p50 - direct.p50, p99: through.p99 - direct.p99}
	return latencySample{direct: direct, added: added}, nil
}

// latencyOf measures the latency of a process at a fixed request rate.
func (b *benchmark) latencyOf(target *process, requestsPerSecond float64) (percentiles, error) {
	latencies, err := runLoad(loadOptions{
		address:  target.address,
		clients:  embeddingClients,
		span:     b.roundSpan,
		interval: time.Duration(embeddingClients / requestsPerSecond * float64(time.Second)),
		request:  embeddingRequest,
	})
	if err != nil {
		return percentiles{}, err
	}
	return percentiles{
		p50: float64(latencies.Percentile(50).Microseconds()),
		p99: float64(latencies.Percentile(99).Microseconds()),
	}, nil
}

// measureIdleMemory measures the memory per idle connection of each subject, in a new process that has served no request.
func (b *benchmark) measureIdleMemory() error {
	router, err := idleConnectionBytes(routerProcess, b.backend.address)
	if err != nil {
		return err
	}
	proxy, err := idleConnectionBytes(proxyProcess, b.backend.address)
	if err != nil {
		return err
	}
	b.printRow("resident bytes an idle connection", comparison{router: router, proxy: proxy})
	return nil
}

// idleConnectionBytes starts a subject and returns by how many bytes its resident set grows per idle connection.
func idleConnectionBytes(kind processKind, backend string) (bytes float64, err error) {
	subject, err := startProcess(subjectCore, kind, backend)
	if err != nil {
		return 0, err
	}
	defer subject.stop()
	var connections []net.Conn
	defer func() {
		for _, conn := range connections {
			err = errors.Join(err, conn.Close())
		}
	}()
	time.Sleep(settleDelay)
	before := subject.residentBytes()
	for range idleConnections {
		conn, err := net.Dial("tcp", subject.address)
		if err != nil {
			return 0, err
		}
		connections = append(connections, conn)
	}
	time.Sleep(settleDelay)
	return float64(subject.residentBytes()-before) / idleConnections, nil
}
