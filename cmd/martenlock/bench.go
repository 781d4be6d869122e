package main

import (
	"time"

	"github.com/spf13/cobra"

	"martenlock/internal/bench"
)

// defaultSpan is the default duration of one measurement.
const defaultSpan = 4 * time.Second

const benchHelp = `Compare the router with the reverse proxy of Go's standard library
(net/http/httputil.ReverseProxy): requests and streamed tokens per second of CPU time,
added latency, and memory per idle connection.

Each proxy runs as a process of its own on one core, in front of the same backend, which
answers at once. The figures show the cost of forwarding; they say nothing about
scheduling on real engines. The command needs two cores and an otherwise idle machine. It
takes about 15 times the span, plus half a minute.`

func benchCommand() *cobra.Command {
	var span time.Duration
	command := &cobra.Command{
		Use:     "bench",
		Short:   "Compare the router's cost with net/http's ReverseProxy, one core each",
		Long:    benchHelp,
		Example: "  martenlock bench --span 10s",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return bench.Run(span, command.OutOrStdout())
		},
	}
	command.Flags().DurationVar(&span, "span", defaultSpan, "`DURATION` of each measurement, over all its rounds")
	return command
}

// benchProcessCommand returns the hidden command by which bench starts its processes.
func benchProcessCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "bench-process KIND BACKEND",
		Short:  "Run one of the processes of bench, which starts them itself",
		Hidden: true,
		Args:   cobra.ExactArgs(2),
		RunE:   func(_ *cobra.Command, args []string) error { return bench.RunChild(args[0], args[1]) },
	}
}
