package experiment

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"martenlock/internal/fakeengine"
)

// Parameters of the interference comparison.
const (
	interferenceRounds  = 3 // each round measures all variants, so that other load on the machine affects all alike
	interferenceEngines = 4
	chatsPerSecond      = 80
	searchesPerSecond   = 40
	bulkClients         = 6
	bulkInputs          = 512
	bulkInputTokens     = 100

	searchSeedOffset = 100 // makes the arrival times of searches independent of those of chats
)

// interferenceEngine is the engine of the interference comparison. It serves chat and embeddings.
var interferenceEngine = fakeengine.Spec{
	PrefillTokensPerSecond: 30_000,
	DecodeSlots:            32,
	MaxWaiting:             64,
	Dimensions:             64,
	TokenInterval:          10 * time.Millisecond,
	AnswerTokens:           20,
}

// variant is a combination of load and pool settings to measure.
type variant struct {
	name           string
	poolSettings   string
	hasInteractive bool // whether the load has chats and searches
	hasBulk        bool // whether the load has bulk embeddings
}

var variants = []variant{
	{name: "no bulk", poolSettings: "part_tokens = 2000\n", hasInteractive: true},
	{name: "bulk, whole", hasInteractive: true, hasBulk: true},
	{name: "bulk in shards, no queue", poolSettings: "part_tokens = 2000\nlarge_tokens = 0\n", hasInteractive: true, hasBulk: true},
	{name: "bulk in shards, queue", poolSettings: "part_tokens = 2000\n", hasInteractive: true, hasBulk: true},
	{name: "bulk alone, no queue", poolSettings: "part_tokens = 2000\nlarge_tokens = 0\n", hasBulk: true},
	{name: "bulk alone, queue", poolSettings: "part_tokens = 2000\n", hasBulk: true},
}

// interactiveResult is the result of a load of chats or searches.
type interactiveResult struct {
	p50, p99  float64 // latency in milliseconds
	notServed float64 // number of requests rejected or failed
}

// interferenceResult is the result of one variant.
type interferenceResult struct {
	chat                interactiveResult // latency to the first token
	search              interactiveResult
	bulkInputsPerSecond float64
	bulkNotServed       float64 // number of requests rejected or failed
}

// compareInterference measures how bulk requests affect chats and searches on the same engines, with and without the fair
// queue of large requests.
func (r *run) compareInterference() error {
	r.printInterferenceHeader()
	results := make([][]interferenceResult, len(variants))
	for round := range interferenceRounds {
		for i, measured := range variants {
			result, err := measured.measure(r.span, uint64(round))
			if err != nil {
				return err
			}
			results[i] = append(results[i], result)
		}
	}
	chat := barSeries{name: "chat, first token"}
	search := barSeries{name: "search"}
	var names []string
	for i, measured := range variants {
		result := medianResult(results[i])
		r.printInterferenceRow(measured.name, result)
		if measured.hasInteractive {
			names = append(names, measured.name)
			chat.heights = append(chat.heights, result.chat.p99)
			search.heights = append(search.heights, result.search.p99)
		}
	}
	return r.drawBars("embeddings-beside.svg", barPlot{
		title:      "p99 beside bulk embeddings, ms",
		groupNames: names,
		series:     []barSeries{chat, search},
	})
}

// measure runs the load of the variant for the duration span. seed determines the arrival times.
func (v *variant) measure(span time.Duration, seed uint64) (interferenceResult, error) {
	cluster, err := startCluster(interferenceEngines, interferenceEngine, v.poolSettings)
	if err != nil {
		return interferenceResult{}, err
	}
	chats := newLoadGenerator(cluster)
	searches := newLoadGenerator(cluster)
	bulk := newLoadGenerator(cluster)
	var loads sync.WaitGroup
	if v.hasInteractive {
		loads.Go(func() {
			runOpenLoop(span, chatsPerSecond, seed, func(number int, due time.Time) { chats.sendChat(number, due) })
		})
		loads.Go(func() {
			runOpenLoop(span, searchesPerSecond, seed+searchSeedOffset, func(number int, due time.Time) {
				searches.sendEmbeddings(searchClass, fmt.Sprint("s", number), 1, searchTokens, due)
			})
		})
	}
	startedAt := time.Now()
	if v.hasBulk {
		loads.Go(func() {
			runClosedLoop(span, bulkClients, func(number int) bool {
				return bulk.sendEmbeddings(bulkClass, fmt.Sprint("b", number), bulkInputs, bulkInputTokens, time.Now())
			})
		})
	}
	loads.Wait()
	result := interferenceResult{
		chat:                chats.interactiveResult(),
		search:              searches.interactiveResult(),
		bulkInputsPerSecond: bulkInputs * float64(bulk.served.Load()) / time.Since(startedAt).Seconds(),
		bulkNotServed:       float64(bulk.notServed()),
	}
	return result, cluster.Close()
}

// interactiveResult returns the result of the requests so far.
func (l *loadGenerator) interactiveResult() interactiveResult {
	return interactiveResult{p50: l.latencyMillis(50), p99: l.latencyMillis(99), notServed: float64(l.notServed())}
}

// medianResult returns a result with the median of each figure over all results. Its figures may come from different
// rounds.
func medianResult(results []interferenceResult) interferenceResult {
	median := func(figure func(*interferenceResult) float64) float64 {
		var values []float64
		for i := range results {
			values = append(values, figure(&results[i]))
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	return interferenceResult{
		chat: interactiveResult{
			p50:       median(func(r *interferenceResult) float64 { return r.chat.p50 }),
			p99:       median(func(r *interferenceResult) float64 { return r.chat.p99 }),
			notServed: median(func(r *interferenceResult) float64 { return r.chat.notServed }),
		},
		search: interactiveResult{
			p50:       median(func(r *interferenceResult) float64 { return r.search.p50 }),
			p99:       median(func(r *interferenceResult) float64 { return r.search.p99 }),
			notServed: median(func(r *interferenceResult) float64 { return r.search.notServed }),
		},
		bulkInputsPerSecond: median(func(r *interferenceResult) float64 { return r.bulkInputsPerSecond }),
		bulkNotServed:       median(func(r *interferenceResult) float64 { return r.bulkNotServed }),
	}
}

// printInterferenceHeader prints the parameters of the load and the column titles.
func (r *run) printInterferenceHeader() {
	r.out.Printf("\n%d colocated fake engines (30,000 tokens a second); %d chats and %d searches a second; bulk: %d clients, %d inputs of %d tokens; medians of %d rounds in turns\n",
		interferenceEngines, chatsPerSecond, searchesPerSecond, bulkClients, bulkInputs, bulkInputTokens, interferenceRounds)
	r.out.Printf("%-24s %22s %22s %16s\n", "", "chat, first token ms", "search ms", "bulk")
	r.out.Printf("%-24s %7s %7s %7s %7s %7s %7s %7s %8s\n", "", "p50", "p99", "not ok", "p50", "p99", "not ok", "inputs/s", "not ok")
}

// printInterferenceRow prints the result of one variant.
func (r *run) printInterferenceRow(name string, result interferenceResult) {
	r.out.Printf("%-24s %7.0f %7.0f %7.0f %7.0f %7.0f %7.0f %7.0f %7.0f\n", name,
		result.chat.p50, result.chat.p99, result.chat.notServed,
		result.search.p50, result.search.p99, result.search.notServed,
		result.bulkInputsPerSecond, result.bulkNotServed)
}
