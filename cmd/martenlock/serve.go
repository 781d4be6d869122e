package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"martenlock/internal/serve"
)

// signalBufferSize is the number of signals that may arrive while the settings are being reloaded.
// More are lost.
const signalBufferSize = 4

const serveHelp = `Run one router in the foreground. The settings file names the list of engines (nodes).
Routers share no state: run several behind any TCP load balancer.

SIGHUP    reload the settings; if they have errors, log them and keep the old settings
SIGTERM   shut down gracefully: accept no new requests, answer the open ones, exit
SIGINT    like SIGTERM`

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

// runServe runs a router until SIGTERM or SIGINT.
func runServe(path string) error {
	serve.TuneGC()
	running, err := serve.Start(path, os.Stderr)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, signalBufferSize)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		_ = running.Reload() // logs its error; the router keeps its settings
	}
	return running.Stop()
}
