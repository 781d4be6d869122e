package experiment

import (
	"fmt"
	"time"

	"gonum.org/v1/plot/plotter"
)

const shardInputTokens = 20

// The compared pool settings.
const (
	wholeSettings   = "parts = 1\n"
	shardedSettings = "part_items = 128\nlarge_tokens = 4000\n"
)

// compareShards measures the throughput of large requests that are sent one at a time, for several numbers of engines and
// inputs. Each combination is measured with whole requests and with requests in shards.
func (r *run) compareShards() error {
	r.out.Printf("inputs a second, one request at a time, fake engines of 400,000 tokens a second, inputs of %d tokens\n%8s %8s %10s %10s\n",
		shardInputTokens, "engines", "inputs", "whole", "in shards")
	var lines []lineSeries
	for _, engines := range []int{1, 2, 4, 8} {
		line := lineSeries{name: fmt.Sprintf("%d engines", engines)}
		for _, inputs := range []int{64, 256, 1024, 2048} {
			whole, err := measureInputRate(r.span, engines, inputs, wholeSettings)
			if err != nil {
				return err
			}
			sharded, err := measureInputRate(r.span, engines, inputs, shardedSettings)
			if err != nil {
				return err
			}
			r.out.Printf("%8d %8d %10.0f %10.0f\n", engines, inputs, whole, sharded)
			line.points = append(line.points, plotter.XY{X: float64(inputs), Y: sharded / whole})
		}
		lines = append(lines, line)
	}
	return r.drawLines("embeddings-parts.svg", linePlot{
		title:  "Inputs a second in shards, over the same request whole",
		xLabel: "inputs of a request",
		yLabel: "times",
		lines:  lines,
	})
}

// measureInputRate returns the rate of served inputs, per second, if requests with the given number of inputs are sent one
// after another.
func measureInputRate(span time.Duration, engines, inputs int, poolSettings string) (float64, error) {
	cluster, err := startCluster(engines, fastEngine, poolSettings)
	if err != nil {
		return 0, err
	}
	bulk := newLoadGenerator(cluster)
	runClosedLoop(span, 1, func(number int) bool {
		return bulk.sendEmbeddings(bulkClass, fmt.Sprint(number), inputs, shardInputTokens, time.Now())
	})
	rate := float64(bulk.served.Load()) * float64(inputs) / span.Seconds()
	return rate, cluster.Close()
}
