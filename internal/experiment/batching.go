package experiment

import (
	"fmt"
	"time"

	"gonum.org/v1/plot/plotter"
)

// Parameters of the batching comparison.
const (
	batchingEngines    = 2
	batchingEngineRate = 20_000 // tokens a second
	searchTokens       = 10

	batchingSettings = "join_wait = 5ms\n"
)

// searchResult is the rate and the latency of served searches.
type searchResult struct {
	perSecond float64
	p50, p99  float64 // milliseconds
}

// compareBatching measures the rate of small requests for several numbers of clients, without and with batching.
func (r *run) compareBatching() error {
	r.out.Printf("\nsearches a second (%d tokens; a call costs as much as 100), %d fake engines of 20,000 tokens a second\n%8s %10s %8s %8s %10s %8s %8s\n",
		searchTokens, batchingEngines, "clients", "alone", "p50 ms", "p99 ms", "batched", "p50 ms", "p99 ms")
	alone := lineSeries{name: "each alone"}
	batched := lineSeries{name: "batched"}
	for _, clients := range []int{1, 4, 16, 64, 256} {
		r.out.Printf("%8d", clients)
		for _, compared := range []struct {
			poolSettings string
			series       *lineSeries
		}{
			{"", &alone},
			{batchingSettings, &batched},
		} {
			result, err := measureSearches(r.span, clients, compared.poolSettings)
			if err != nil {
				return err
			}
			r.out.Printf(" %10.0f %8.1f %8.1f", result.perSecond, result.p50, result.p99)
			compared.series.points = append(compared.series.points, plotter.XY{X: float64(clients), Y: result.perSecond})
		}
		r.out.Printf("\n")
	}
	return r.drawLines("embeddings-joins.svg", linePlot{
		title:  "Searches a second",
		xLabel: "clients",
		yLabel: "a second",
		lines:  []lineSeries{alone, batched},
	})
}

// measureSearches measures clients that each send one search after another.
func measureSearches(span time.Duration, clients int, poolSettings string) (searchResult, error) {
	engine := fastEngine
	engine.PrefillTokensPerSecond = batchingEngineRate
	cluster, err := startCluster(batchingEngines, engine, poolSettings)
	if err != nil {
		return searchResult{}, err
	}
	searches := newLoadGenerator(cluster)
	runClosedLoop(span, clients, func(number int) bool {
		return searches.sendEmbeddings(searchClass, fmt.Sprint(number), 1, searchTokens, time.Now())
	})
	result := searchResult{
		perSecond: float64(searches.served.Load()) / span.Seconds(),
		p50:       searches.latencyMillis(50),
		p99:       searches.latencyMillis(99),
	}
	return result, cluster.Close()
}
