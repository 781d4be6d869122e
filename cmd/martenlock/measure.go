package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"martenlock/internal/experiment"
)

const measureHelp = `Compare settings of the router on fake engines, measured one after another within a few
minutes. The figures compare the settings; they say nothing about real engines.

Experiments:
  embeddings   large requests whole and in shards, small requests with and without
               batching, and chat and searches beside bulk embeddings with and without
               the fair queue of large requests`

func measureCommand() *cobra.Command {
	var options experiment.Options
	command := &cobra.Command{
		Use:       "measure EXPERIMENT",
		Short:     "Compare settings of the router on fake engines",
		Long:      measureHelp,
		Example:   "  martenlock measure embeddings --plots plots",
		Args:      cobra.ExactArgs(1),
		ValidArgs: []string{"embeddings"},
		RunE: func(command *cobra.Command, args []string) error {
			options.Out = command.OutOrStdout()
			if args[0] != "embeddings" {
				return fmt.Errorf("unknown experiment %q, want embeddings", args[0])
			}
			return experiment.Embeddings(options)
		},
	}
	command.Flags().DurationVar(&options.Span, "span", defaultSpan, "`DURATION` of each measurement")
	command.Flags().StringVar(&options.Dir, "plots", "", "`DIRECTORY` for plots (SVG); without it none are drawn")
	return command
}
