package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"martenlock/internal/demo"
)

// errRuleBroken is the outcome of a fault scenario whose report names a broken rule.
var errRuleBroken = errors.New("a rule was broken")

// demoHelp is the help of the command demo.
const demoHelp = `Run a router and 17 fake engines in one process: prefill, decode, embeddings and rerank
engines whose answers are made up. Without further flags it prints example requests and
where its settings lie, and serves until Ctrl-C.

With --faults it runs a fault scenario: it sends load to the router while engines crash,
hang, reset connections, slow down and are replaced, then checks five rules by what
clients and engines saw on their sockets:

  one answer    each request gets exactly one final answer before its deadline
  no repeats    nothing that must not be executed twice is
  draining      nothing new goes to an engine that drains
  slow start    engines that have just started get no more than they can take
  no leaks      no KV cache is retained past its limit

The built-in scenario takes 30 seconds. Exits with 0 if all rules held, with 1 if one was
broken.`

// demoFlags are the flags of the command demo.
type demoFlags struct {
	listen    string
	logLevel  string
	script    string
	runFaults bool
}

// demoCommand is the command demo.
func demoCommand() *cobra.Command {
	var options demoFlags
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a router before fake engines, or a fault scenario on them",
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
	_ = flags.MarkHidden("bad-day") // fails for a flag that does not exist alone
	flags.StringVar(&options.script, "script", "", "with --faults: scenario `FILE` (INI; see docs/operating.md) in place of the built-in one")
	flags.StringVar(&options.listen, "listen", "127.0.0.1:0", "`ADDRESS` of the router; port 0 lets the kernel pick one")
	flags.StringVar(&options.logLevel, "log-level", "warn", "the least `LEVEL` that the router logs: debug, info, warn or error")
	return command
}

// runFaultScenario runs a fault scenario and prints its report.
func runFaultScenario(options demoFlags, out io.Writer) error {
	report, err := demo.RunFaultScenario(options.script, demo.RunOptions{
		Rules:    demo.Rules,
		Listen:   options.listen,
		LogLevel: options.logLevel,
		Log:      os.Stderr,
		Out:      out,
	})
	if err != nil {
		return err
	}
	fmt.Fprint(out, report)
	if !report.Kept() {
		return errRuleBroken
	}
	return nil
}

// runDemo runs a router and fake engines until a signal ends it.
func runDemo(options demoFlags, out io.Writer) error {
	cluster, err := demo.Start(demo.Options{Listen: options.listen, Seed: 1, LogLevel: options.logLevel, Log: os.Stderr})
	if err != nil {
		return err
	}
	address := cluster.Service.Router.Addr()
	fmt.Fprintf(out, "martenlock listens on http://%s (settings and node list in %s); Ctrl-C ends it. Try:\n\n%s\n",
		address, cluster.Dir(), demo.ExampleRequests(address))
	shutdown := make(chan os.Signal, 1)
	signal.Notify(shutdown, syscall.SIGTERM, syscall.SIGINT)
	<-shutdown
	return cluster.Close()
}
