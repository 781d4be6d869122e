package demo

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"martenlock/internal/fakeengine"
	"martenlock/internal/invariant"
)

const (
	maxRecordedEvents = 4 << 20 // far above what the longest scenario gives; past it nothing is proven

	// quiesceDelay passes between the last answer and the check. It is longer than the limit
	// on KV retention (Rules.PinLimit), so KV state that is still retained is retained too long.
	quiesceDelay = 1500 * time.Millisecond

	drainedProcessExit = 1500 * time.Millisecond // a drained process exits so long after the endpoint list drains it
	deathListedAfter   = 500 * time.Millisecond  // a process that died leaves the endpoint list so long after its death, at most

	maxClientConnections = 4096 // idle connections that the clients keep, above what a scenario has in flight

	// The histogram of latencies: 1 us to one minute, three significant digits.
	maxLatencyMicros  = 60_000_000
	latencyPrecision  = 3
	microsPerMilli    = 1000
	timelineRowLength = 2 * time.Second
)

// scenarioRun is a scenario that is being run.
type scenarioRun struct {
	scenario  *Scenario
	world     *Cluster
	recording *invariant.Recording
	out       io.Writer
	baseURL   string // of the router
	client    *http.Client
	startedAt time.Time
	tasks     sync.WaitGroup // requests and faults

	mu        sync.Mutex // guards what follows, and out while tasks run
	latencies *hdrhistogram.Histogram
	err       error // the first that makes the run void
}

// Run runs the scenario against a router and fake engines of its own, prints how requests
// fared, and reports whether the rules held.
func (s *Scenario) Run(options RunOptions) (*invariant.Report, error) {
	recording := invariant.NewRecording(maxRecordedEvents)
	world, err := Start(Options{
		Listen:   options.Listen,
		Seed:     uint64(s.Seed) + 1,
		LogLevel: options.LogLevel,
		Log:      options.Log,
		Rec:      recording,
	})
	if err != nil {
		return nil, err
	}
	requests := s.plan()
	address := world.Service.Router.Addr()
	fmt.Fprintf(options.Out, "fault scenario: %d requests in %v at %s, %d faults\n", len(requests), s.Length, address, len(s.Faults))
	run := &scenarioRun{
		scenario:  s,
		world:     world,
		recording: recording,
		out:       options.Out,
		baseURL:   "http://" + address,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxClientConnections,
			MaxIdleConns:        maxClientConnections,
		}},
		startedAt: time.Now(),
		latencies: hdrhistogram.New(1, maxLatencyMicros, latencyPrecision),
	}
	run.startFaults()
	scheduleLag := run.sendAll(requests)
	run.tasks.Wait()
	time.Sleep(quiesceDelay)
	run.client.CloseIdleConnections()
	report := invariant.Check(recording, options.Rules, world.Clock())
	run.printLatencies(scheduleLag)
	run.printTimeline()
	if run.err != nil {
		return nil, run.err
	}
	return report, world.Close()
}

// startFaults starts a task for each fault. Bursts are in the plan of requests already.
func (run *scenarioRun) startFaults() {
	for i := range run.scenario.Faults {
		fault := &run.scenario.Faults[i]
		if fault.Kind != FaultBurst {
			run.tasks.Go(func() { run.injectFault(fault) })
		}
	}
}

// sendAll starts a task for each request when it is due, and returns by how much the latest
// of them was behind its time.
func (run *scenarioRun) sendAll(requests []plannedRequest) (scheduleLag time.Duration) {
	for i := range requests {
		request := &requests[i]
		due := run.startedAt.Add(request.at)
		time.Sleep(time.Until(due))
		scheduleLag = max(scheduleLag, time.Since(due))
		run.tasks.Go(func() { run.send(request) })
	}
	return scheduleLag
}

// fail makes the run void; the first error is kept.
func (run *scenarioRun) fail(err error) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.err == nil {
		run.err = err
	}
}

// sleepUntil sleeps until a time of the scenario.
func (run *scenarioRun) sleepUntil(at time.Duration) {
	time.Sleep(time.Until(run.startedAt.Add(at)))
}

// injectFault injects a fault from its start to its end.
func (run *scenarioRun) injectFault(fault *Fault) {
	run.sleepUntil(fault.Start)
	var engines []*fakeengine.Engine
	for _, target := range fault.Targets {
		found := run.world.find(target)
		if len(found) == 0 {
			run.fail(fmt.Errorf("fault %q: no engine %q", fault.Name, target))
		}
		engines = append(engines, found...)
	}
	run.mu.Lock()
	fmt.Fprintf(run.out, "%5.1fs %s\n", fault.Start.Seconds(), fault.Name)
	run.mu.Unlock()
	switch fault.Kind {
	case FaultDie:
		run.injectDeath(fault, engines)
	case FaultReplace:
		run.injectReplacement(fault, engines)
	default:
		run.injectEngineFault(fault, engines)
	}
}

// checkFault makes the run void where a step of a fault failed.
func (run *scenarioRun) checkFault(fault *Fault, err error) {
	if err != nil {
		run.fail(fmt.Errorf("fault %q: %w", fault.Name, err))
	}
}

// injectDeath ends the engines' processes, which the endpoint list shows a little later, and
// starts them anew when the fault is over.
func (run *scenarioRun) injectDeath(fault *Fault, engines []*fakeengine.Engine) {
	for _, engine := range engines {
		engine.Kill()
	}
	run.sleepUntil(fault.Start + min(deathListedAfter, fault.Length/2))
	run.checkFault(fault, run.world.Say("gone", false, engines...))
	run.sleepUntil(fault.end())
	for _, engine := range engines {
		run.checkFault(fault, engine.Restart())
	}
	run.checkFault(fault, run.world.Say("ready", true, engines...))
}

// injectReplacement starts a successor of each engine in slow start and drains the engines;
// their processes exit a while later.
func (run *scenarioRun) injectReplacement(fault *Fault, engines []*fakeengine.Engine) {
	for _, engine := range engines {
		successor := engine.Spec
		successor.Name += "-next"
		run.checkFault(fault, run.world.Add(successor, true))
	}
	run.checkFault(fault, run.world.Say("draining", false, engines...))
	run.sleepUntil(fault.Start + drainedProcessExit)
	run.checkFault(fault, run.world.Say("gone", false, engines...))
	for _, engine := range engines {
		engine.Kill()
	}
}

// injectEngineFault sets a fault of the engines and clears it when it is over.
func (run *scenarioRun) injectEngineFault(fault *Fault, engines []*fakeengine.Engine) {
	for _, engine := range engines {
		engine.SetFault(fault.engineFault())
	}
	run.sleepUntil(fault.end())
	for _, engine := range engines {
		engine.SetFault(fakeengine.Fault{})
	}
}

// printLatencies prints the time to the first token, or to the whole answer where it is not
// streamed, and by how much the load fell behind its schedule.
func (run *scenarioRun) printLatencies(scheduleLag time.Duration) {
	p50 := float64(run.latencies.ValueAtQuantile(50)) / microsPerMilli
	p99 := float64(run.latencies.ValueAtQuantile(99)) / microsPerMilli
	lag := scheduleLag.Seconds() * 1000
	fmt.Fprintf(run.out, "first token or whole answer: p50 %.1f ms, p99 %.1f ms; the load was at most %.1f ms behind its schedule\n", p50, p99, lag)
}

// answerCounts is a number of answers by invariant.Result.
type answerCounts [4]int

// printTimeline prints how requests ended, by when they were sent.
func (run *scenarioRun) printTimeline() {
	rows := run.timeline()
	fmt.Fprintf(run.out, "sent at      served refused failed\n")
	for i, row := range rows {
		if row == (answerCounts{}) {
			continue
		}
		from := (time.Duration(i) * timelineRowLength).Seconds()
		to := (time.Duration(i+1) * timelineRowLength).Seconds()
		fmt.Fprintf(run.out, "%4.0f to %2.0f s  %6d %7d %6d\n",
			from, to, row[invariant.Served], row[invariant.Rejected], row[invariant.Failed])
	}
}

// timeline counts answers in rows of timelineRowLength, by when their requests were sent.
func (run *scenarioRun) timeline() []answerCounts {
	rows := make([]answerCounts, int(run.scenario.Length/timelineRowLength)+1)
	rowOfRequest := map[string]int{}
	offset := run.startedAt.Sub(run.world.startedAt)
	events := run.recording.Events()
	for i := range events {
		event := &events[i]
		switch event.Kind {
		case invariant.RequestSent:
			row := int((event.At - offset) / timelineRowLength)
			rowOfRequest[event.Request] = min(max(row, 0), len(rows)-1)
		case invariant.FinalAnswer:
			rows[rowOfRequest[event.Request]][event.Result]++
		}
	}
	return rows
}
