// Package bench compares the cost of the router with that of net/http/httputil.ReverseProxy. Each runs as a process on one
// core, with the same backend and under the same load.
//
// It does not model serving. Its backend answers at once or streams at a fixed rate, all requests are equal, and clients,
// backend and both subjects share one machine and its loopback interface. The figures are of forwarding alone, on this
// machine. They say nothing about scheduling, engines or a network.
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
	// rounds is the number of rounds of each measurement. Each round measures both subjects, so that other load of the
	// machine affects both.
	rounds = 5

	embeddingClients = 32   // keeps one core busy
	idleConnections  = 4000 // together they need far more memory than the process without them

	// settleDelay is the wait before memory is read. Accepting and allocating have ended by then.
	settleDelay = 300 * time.Millisecond

	minCPUTime = time.Millisecond // least CPU time of a measurement, since the clock ticks every 10 ms
)

// The cores of the measurement. The load runs on other cores if there are any.
const (
	backendCore   = 0
	subjectCore   = 1 // of both subjects; one is idle while the other is measured
	firstFreeCore = 2
)

// errTooFewCores is returned if the machine can't run the measurement.
var errTooFewCores = errors.New("the benchmark needs two cores")

// streamCounts are the numbers of concurrent streams that are measured.
var streamCounts = []int{32, 256}

// subjects are the two processes that are compared.
type subjects struct{ router, proxy *process }

// benchmark is a run of all measurements.
type benchmark struct {
	backend   *process
	subjects  subjects
	roundSpan time.Duration // time for one measurement of one subject
	out       *printer.Printer
}

// Run takes all measurements and prints a table. Each measurement takes span, over all of its rounds. The calling program
// must run Child for the arguments bench-process, kind and backend.
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

// run takes the measurements in the order of the table.
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

// throughput is the rate at which a subject forwards.
type throughput struct {
	perCPUSecond float64 // per second of its processor time
	perSecond    float64
}

// measureThroughput measures a subject under full load. Each request counts as the given number of units.
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

// measureEmbeddings measures short requests with short answers. It returns the most requests a second of each subject.
func (b *benchmark) measureEmbeddings() (capacity comparison, err error) {
	samples, err := inTurns(b.subjects, func(subject *process) (throughput, error) {
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

// measureStreams measures concurrent streams of tokens.
func (b *benchmark) measureStreams(streams int) error {
	samples, err := inTurns(b.subjects, func(subject *process) (throughput, error) {
		return b.measureThroughput(subject, streams, chatRequest, streamTokens)
	})
	if err != nil {
		return err
	}
	tokens := samples.medians(func(t throughput) float64 { return t.perCPUSecond })
	b.printRow(fmt.Sprintf("streamed tokens a CPU second, %d streams", streams), tokens)
	return nil
}

// percentiles are latencies to a complete answer in microseconds.
type percentiles struct{ p50, p99 float64 }

// latencySample is the latency of a subject at a fixed rate, and that of the backend alone.
type latencySample struct {
	direct percentiles // of the backend without a subject
	added  percentiles // by the subject
}

// measureLatency measures the latency that each subject adds at a fixed rate.
func (b *benchmark) measureLatency(requestsPerSecond float64, label string) error {
	samples, err := inTurns(b.subjects, func(subject *process) (latencySample, error) {
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

// sampleLatency measures the backend alone, then through the subject.
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

// latencyOf measures a process at a fixed rate of requests.
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

// measureIdleMemory measures the memory of idle connections, in new processes without any load.
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

// idleConnectionBytes starts a subject and returns the growth of its resident set by each idle connection.
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
