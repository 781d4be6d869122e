package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"martenlock/internal/platform"
	"martenlock/internal/serve"
)

// pendingSignals is how many signals may arrive while settings are being reloaded.
const pendingSignals = 4

// serveHelp is the help of the command serve.
const serveHelp = `Run one router in the foreground, with the settings and the list of engines (nodes) that
the settings name. Routers share nothing: run several behind any TCP load balancer.

SIGHUP    read the settings again; where they have errors, the log names them and the
          router goes on with the old ones
SIGTERM   shut down gracefully: accept nothing new, answer the open requests, exit
SIGINT    as SIGTERM`

// serveCommand is the command serve.
func serveCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:     "serve",
		Short:   "Run a router until SIGTERM; SIGHUP reloads its settings",
		Long:    serveHelp,
		Example: "  martenlock serve -c martenlock.ini",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return runServe(path) },
	}
	command.Flags().StringVarP(&path, "config", "c", "martenlock.ini", "settings `FILE` (INI)")
	return command
}

// runServe runs a router until a signal ends it.
func runServe(path string) error {
	serve.TuneCollector()
	running, err := serve.Start(path, os.Stderr)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, pendingSignals)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		_ = running.Reload() // it logs why settings were rejected
	}
	return running.Stop()
}

// platformHelp is the help of the command platform.
const platformHelp = `Run one router on a hosting platform that configures it by environment variables and
tells it the engines over a discovery service, until SIGTERM. For settings in files of
your own, use serve.

PROXY_CONFIG      the settings (a JSON file); must be set
PROXY_NAME        the router's name, where the file lacks "name"
PROXY_LISTEN      the address to listen on, where the file lacks "listen"
PROXY_DISCOVERY   the discovery service's address, where the file lacks "discovery"`

// platformCommand is the command platform.
func platformCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "platform",
		Short:   "Run a router that is configured by PROXY_ environment variables, until SIGTERM",
		Long:    platformHelp,
		Example: "  PROXY_CONFIG=router.json martenlock platform",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return platform.Serve(os.Getenv, os.Stderr) },
	}
}

// checkHelp is the help of the command check.
const checkHelp = `Read a settings file and the list of engines (nodes) that it names, without starting
anything. Prints a summary where both are good; otherwise lists every error with its
file, section and key, and exits with 1.`

// checkCommand is the command check.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE.ini",
		Short:   "Check a settings file and the list of engines that it names",
		Long:    checkHelp,
		Example: "  martenlock check martenlock.ini",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			settings, nodes, err := serve.Check(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: good: %s; %d nodes\n", args[0], settings.Summary(), len(nodes))
			return nil
		},
	}
}
