package experiment

import (
	"fmt"
	"time"

	"gonum.org/v1/plot/plotter"
)

// The comparison of batching.
const (
	batchingEngines    = 2
	batchingEngineRate = 20_000 // tokens a second
	searchTokens       = 10

	batchingSettings = "join_wait = 5ms\n"
)

// searchRate is the rate and the latency of served searches.
type searchRate struct {
	perSecond float64
	p50, p99  float64 // milliseconds
}

// compareBatching measures small requests a second by the number of clients, without and with batching.
func (r *run) compareBatching() error {
	r.out.Printf("\nsearches a second (%d tokens; a call costs as much as 100), %d fake engines of 20,000 tokens a second\n%8s %10s %8s %8s %10s %8s %8s\n",
		searchTokens, batchingEngines, "clients", "alone", "p50 ms", "p99 ms", "batched", "p50 ms", "p99 ms")
	alone := series{name: "each alone"}
	batched := series{name: "batched"}
	for _, clients := range []int{1, 4, 16, 64, 256} {
		r.out.Printf("%8d", clients)
		for _, compared := range []struct {
			poolSettings string
			line         *series
		}{
			{"", &alone},
			{batchingSettings, &batched},
		} {
			rate, err := measureSearches(r.span, clients, compared.poolSettings)
			if err != nil {
				return err
			}
			r.out.Printf(" %10.0f %8.1f %8.1f", rate.perSecond, rate.p50, rate.p99)
			compared.line.points = append(compared.line.points, plotter.XY{X: float64(clients), Y: rate.perSecond})
		}
		r.out.Printf("\n")
	}
	return r.drawLines("embeddings-joins.svg", linePlot{
		title:  "Searches a second",
		xLabel: "clients",
		yLabel: "a second",
		lines:  []series{alone, batched},
	})
}

// measureSearches measures clients that send one search after another.
func measureSearches(span time.Duration, clients int, poolSettings string) (searchRate, error) {
	engine := fastEngine
	engine.PrefillTokensPerSecond = batchingEngineRate
	cluster, err := startCluster(batchingEngines, engine, poolSettings)
	if err != nil {
		return searchRate{}, err
	}
	searches := newLoad(cluster)
	runClosedLoop(span, clients, func(number int) bool {
		return searches.sendEmbeddings(searchClass, fmt.Sprint(number), 1, searchTokens, time.Now())
	})
	rate := searchRate{
		perSecond: float64(searches.served.Load()) / span.Seconds(),
		p50:       searches.milliseconds(50),
		p99:       searches.milliseconds(99),
	}
	return rate, cluster.Close()
}
