package main

import (
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"martenlock/internal/demo"
)

// errRuleBroken is the result of the command if a rule was broken in a fault scenario.
var errRuleBroken = errors.New("at least one rule was broken in the fault scenario")

const demoHelp = `Run a router and 17 fake engines in one process: prefill, decode, embeddings and rerank
engines with made-up answers. Without further flags the demo prints example requests and
the directory of its settings, and serves until Ctrl-C.

With --faults it runs a fault scenario. Clients send requests to the router while engines
crash, hang, reset connections, slow down and are replaced. The demo then checks five
rules against what clients and engines saw on their sockets:

  one answer    each request gets exactly one final answer before its deadline
  no repeats    a request that must not be repeated is executed at most once
  draining      a draining engine gets no new requests
  slow start    an engine that has just started gets no more than it can serve
  no leaks      no KV state is retained past its limit

The built-in scenario takes 30 seconds. The exit code is 0 if all rules held, or 1 if one
was broken.`

type demoOptions struct {
	listen    string
	logLevel  string
	script    string
	runFaults bool
}

func demoCommand() *cobra.Command {
	var options demoOptions
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a router with fake engines, or a fault scenario on them",
		Long:  demoHelp,
		Example: `  martenlock demo --listen 127.0.0.1:8080
  martenlock demo --faults
  martenlock demo --faults --script my-scenario.ini`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if options.runFaults {
				return runFaultScenario(options, command.OutOrStdout())
			}
			return runDemo(options, command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.BoolVar(&options.runFaults, "faults", false, "run a fault scenario and check the five rules (also --bad-day)")
	flags.BoolVar(&options.runFaults, "bad-day", false, "another name of --faults")
	_ = flags.MarkHidden("bad-day") // fails only if the flag does not exist
	flags.StringVar(&options.script, "script", "", "with --faults: `FILE` of a scenario to run in place of the built-in one (INI; see docs/operating.md)")
	flags.StringVar(&options.listen, "listen", "127.0.0.1:0", "`ADDRESS` of the router; with port 0 the kernel chooses a port")
	flags.StringVar(&options.logLevel, "log-level", "warn", "lowest `LEVEL` that the router logs: debug, info, warn or error")
	return command
}

// runFaultScenario runs a fault scenario and prints its report. It returns errRuleBroken if a rule
// was broken.
func runFaultScenario(options demoOptions, out io.Writer) error {
	report, err := demo.RunFaultScenario(options.script, demo.RunOptions{
		Limits:   demo.Limits,
		Listen:   options.listen,
		LogLevel: options.logLevel,
		Log:      os.Stderr,
		Out:      out,
	})
	if err != nil {
		return err
	}
	printf(out, "%s", report)
	if !report.Kept() {
		return errRuleBroken
	}
	return nil
}

// runDemo runs a router and fake engines until SIGTERM or SIGINT.
func runDemo(options demoOptions, out io.Writer) error {
	cluster, err := demo.Start(demo.Options{Listen: options.listen, Seed: 1, LogLevel: options.logLevel, Log: os.Stderr})
	if err != nil {
		return err
	}
	address := cluster.Service.Router.Addr()
	printf(out, "martenlock listens on http://%s (settings and node list in %s); Ctrl-C ends it. Try:\n\n%s\n",
		address, cluster.Dir(), demo.ExampleRequests(address))
	shutdown := make(chan os.Signal, 1)
	signal.Notify(shutdown, syscall.SIGTERM, syscall.SIGINT)
	<-shutdown
	return cluster.Close()
}
