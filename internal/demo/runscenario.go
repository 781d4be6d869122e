package demo

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"martenlock/internal/fakeengine"
	"martenlock/internal/invariant"
	"martenlock/internal/latency"
	"martenlock/internal/printer"
)

const (
	maxRecordedEvents = 4 << 20 // a run with more events counts as failed

	// quiesceDelay is the wait between the last answer and the check. It is longer than Limits.KVRetentionLimit, so that
	// the check detects KV state that is never released.
	quiesceDelay = 1500 * time.Millisecond

	drainedExitDelay     = 1500 * time.Millisecond // time from the start of a drain to the exit of the engine's process
	maxDeathListingDelay = 500 * time.Millisecond  // longest time from the exit of a process until the endpoint list shows its engine as gone

	maxIdleClientConns = 4096

	timelineRowDuration = 2 * time.Second
)

type scenarioRun struct {
	scenario  *Scenario
	cluster   *Cluster
	recording *invariant.Recording
	baseURL   string // of the router
	client    *http.Client
	latencies *latency.Histogram // time to the first token of a stream or to the complete answer
	startedAt time.Time
	tasks     sync.WaitGroup // one task for each request and each fault

	mu  sync.Mutex // guards the fields below
	out *printer.Printer
	err error // first error that invalidates the run
}

// Run starts a router and fake engines, runs the scenario on them and prints how requests ended. The report says whether the
// rules held.
func (s *Scenario) Run(options RunOptions) (*invariant.Report, error) {
	recording := invariant.NewRecording(maxRecordedEvents)
	cluster, err := Start(Options{
		Listen:    options.Listen,
		Seed:      uint64(s.Seed) + 1,
		LogLevel:  options.LogLevel,
		Log:       options.Log,
		Recording: recording,
	})
	if err != nil {
		return nil, err
	}
	requests := s.plan()
	address := cluster.Service.Router.Addr()
	out := printer.New(options.Out)
	out.Printf("fault scenario: %d requests in %v at %s, %d faults\n", len(requests), s.Duration, address, len(s.Faults))
	run := &scenarioRun{
		scenario:  s,
		cluster:   cluster,
		recording: recording,
		out:       out,
		baseURL:   "http://" + address,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleClientConns,
			MaxIdleConns:        maxIdleClientConns,
		}},
		startedAt: time.Now(),
		latencies: latency.NewHistogram(),
	}
	run.startFaults()
	scheduleLag := run.sendAll(requests)
	run.tasks.Wait()
	time.Sleep(quiesceDelay)
	run.client.CloseIdleConnections()
	report := invariant.Check(recording, options.Limits, cluster.Clock())
	run.printLatencies(scheduleLag)
	run.printTimeline()
	err = errors.Join(run.err, out.Err())
	if err != nil {
		return nil, err
	}
	return report, cluster.Close()
}

// startFaults starts a task for each fault except bursts, which are part of the planned requests.
func (run *scenarioRun) startFaults() {
	for i := range run.scenario.Faults {
		fault := &run.scenario.Faults[i]
		if fault.Kind != FaultBurst {
			run.tasks.Go(func() { run.injectFault(fault) })
		}
	}
}

// sendAll starts a task for each request when the request is due. It returns the greatest delay of a start.
func (run *scenarioRun) sendAll(requests []plannedRequest) (scheduleLag time.Duration) {
	for i := range requests {
		request := &requests[i]
		due := run.startedAt.Add(request.sendAt)
		time.Sleep(time.Until(due))
		scheduleLag = max(scheduleLag, time.Since(due))
		run.tasks.Go(func() { run.send(request) })
	}
	return scheduleLag
}

// fail marks the run as invalid. Only the first error is kept.
func (run *scenarioRun) fail(err error) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.err == nil {
		run.err = err
	}
}

// sleepUntil sleeps until a time since the start of the scenario.
func (run *scenarioRun) sleepUntil(at time.Duration) {
	time.Sleep(time.Until(run.startedAt.Add(at)))
}

// injectFault injects a fault and returns when all its steps are done.
func (run *scenarioRun) injectFault(fault *Fault) {
	run.sleepUntil(fault.Start)
	var engines []*fakeengine.Engine
	for _, target := range fault.Targets {
		found := run.cluster.findEngines(target)
		if len(found) == 0 {
			run.fail(fmt.Errorf("fault %q: no engine matches %q", fault.Name, target))
		}
		engines = append(engines, found...)
	}
	run.mu.Lock()
	run.out.Printf("%5.1fs %s\n", fault.Start.Seconds(), fault.Name)
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

// checkFaultStep marks the run as invalid if a step of a fault failed, that is, if err is not nil.
func (run *scenarioRun) checkFaultStep(fault *Fault, err error) {
	if err != nil {
		run.fail(fmt.Errorf("fault %q: %w", fault.Name, err))
	}
}

// injectDeath ends the engines' processes and restarts them at the end of the fault. The endpoint list shows the engines as
// Gone after a delay.
func (run *scenarioRun) injectDeath(fault *Fault, engines []*fakeengine.Engine) {
	for _, engine := range engines {
		engine.Kill()
	}
	run.sleepUntil(fault.Start + min(maxDeathListingDelay, fault.Duration/2))
	run.checkFaultStep(fault, run.cluster.SetState(Gone, engines...))
	run.sleepUntil(fault.end())
	for _, engine := range engines {
		run.checkFaultStep(fault, engine.Restart())
	}
	run.checkFaultStep(fault, run.cluster.SetRestarted(engines...))
}

// injectReplacement starts a replacement for each engine, in slow start, and drains the replaced engines. The processes of
// the replaced engines exit after drainedExitDelay.
func (run *scenarioRun) injectReplacement(fault *Fault, engines []*fakeengine.Engine) {
	for _, engine := range engines {
		replacement := engine.Spec
		replacement.Name += "-next"
		run.checkFaultStep(fault, run.cluster.AddEngine(replacement, true))
	}
	run.checkFaultStep(fault, run.cluster.SetState(Draining, engines...))
	run.sleepUntil(fault.Start + drainedExitDelay)
	run.checkFaultStep(fault, run.cluster.SetState(Gone, engines...))
	for _, engine := range engines {
		engine.Kill()
	}
}

// injectEngineFault sets the fault on the engines and clears it at the end of the fault.
func (run *scenarioRun) injectEngineFault(fault *Fault, engines []*fakeengine.Engine) {
	for _, engine := range engines {
		engine.SetFault(fault.engineFault())
	}
	run.sleepUntil(fault.end())
	for _, engine := range engines {
		engine.SetFault(fakeengine.Fault{})
	}
}

// printLatencies prints percentiles of the time to the first token or, if an answer was not streamed, to the complete
// answer. It also prints scheduleLag, the greatest delay with which a request was sent.
func (run *scenarioRun) printLatencies(scheduleLag time.Duration) {
	p50 := latency.Milliseconds(run.latencies.Percentile(50))
	p99 := latency.Milliseconds(run.latencies.Percentile(99))
	lag := latency.Milliseconds(scheduleLag)
	run.out.Printf("first token or whole answer: p50 %.1f ms, p99 %.1f ms; the load was at most %.1f ms behind its schedule\n", p50, p99, lag)
}

// answerCounts contains the number of answers by invariant.Result. Malformed is the last Result.
type answerCounts [invariant.Malformed + 1]int

// printTimeline prints the timeline, without rows in which no request was answered.
func (run *scenarioRun) printTimeline() {
	rows := run.timeline()
	run.out.Printf("sent at      served rejected failed\n")
	for i, row := range rows {
		if row == (answerCounts{}) {
			continue
		}
		from := (time.Duration(i) * timelineRowDuration).Seconds()
		to := (time.Duration(i+1) * timelineRowDuration).Seconds()
		run.out.Printf("%4.0f to %2.0f s  %6d %8d %6d\n",
			from, to, row[invariant.Served], row[invariant.Rejected], row[invariant.Failed])
	}
}

// timeline counts answers by the time at which their requests were sent, with a row for each timelineRowDuration.
func (run *scenarioRun) timeline() []answerCounts {
	rows := make([]answerCounts, int(run.scenario.Duration/timelineRowDuration)+1)
	rowOfRequest := map[string]int{}
	offset := run.startedAt.Sub(run.cluster.startedAt)
	events := run.recording.Events()
	for i := range events {
		event := &events[i]
		switch event.Kind {
		case invariant.RequestSent:
			row := int((event.At - offset) / timelineRowDuration)
			rowOfRequest[event.Request] = min(max(row, 0), len(rows)-1)
		case invariant.FinalAnswer:
			rows[rowOfRequest[event.Request]][event.Result]++
		default:
			// Other events are not part of the timeline.
		}
	}
	return rows
}
