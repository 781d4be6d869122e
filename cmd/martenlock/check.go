package main

import (
	"github.com/spf13/cobra"

	"martenlock/internal/serve"
)

const checkHelp = `Check a settings file and the list of engines (nodes) that it names, without starting
anything. If both are valid, print a summary. Otherwise print every error with its file,
section and key, and exit with 1.`

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE.ini",
		Short:   "Check a settings file and the list of engines that it names",
		Long:    checkHelp,
		Example: "  martenlock check martenlock.ini",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			cfg, endpoints, err := serve.Check(args[0])
			if err != nil {
				return err
			}
			printf(command.OutOrStdout(), "%s: good: %s; %d nodes\n", args[0], cfg.Summary(), len(endpoints))
			return nil
		},
	}
}
