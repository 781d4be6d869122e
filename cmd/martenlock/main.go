// Martenlock is a router for serving language models with prefill (computing the prompt's KV
// cache) and decode (streaming the answer) on separate engines. This package is its command
// line alone: flags, help and exit codes.
package main

import (
	"fmt"
	"os"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
)

// rootHelp is what `martenlock --help` explains before its list of commands.
const rootHelp = `Martenlock is a router for serving language models with prefill (computing the prompt's
KV cache) and decode (streaming the answer) on separate engines, such as vLLM's. Clients
talk OpenAI's API to it: chat, completions, embeddings, and rerank.

To see it work without engines or settings:

  martenlock demo                  a router and fake engines in one process
  martenlock demo --faults         30 seconds of faults under load, checked by rules

To run it, write a settings file (the demo prints where it keeps its own, a good start):

  martenlock check martenlock.ini
  martenlock serve -c martenlock.ini

Every command exits with 0 on success and with 1 and a message on standard error otherwise.`

// logTimeFormat has milliseconds: whole seconds do not order the events of an incident.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func main() {
	zerolog.TimeFieldFormat = logTimeFormat
	root := &cobra.Command{
		Use:           "martenlock",
		Short:         "A router for language models with prefill and decode on separate engines",
		Long:          rootHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		serveCommand(),
		platformCommand(),
		checkCommand(),
		demoCommand(),
		benchCommand(),
		benchProcessCommand(),
		measureCommand(),
	)
	err := root.Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "martenlock:", err)
		os.Exit(1)
	}
}
