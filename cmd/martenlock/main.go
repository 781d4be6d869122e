// Martenlock is a router for serving language models with prefill (computing the prompt's KV
// state) and decode (streaming the answer) on separate engines. This package parses its command
// line, prints help and sets the exit code.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
)

const rootHelp = `Martenlock is a router for serving language models with prefill (computing the prompt's
KV state) and decode (streaming the answer) on separate engines, such as vLLM's. Clients
use OpenAI's API (chat, completions, embeddings) and rerank.

To try it without engines or settings:

  martenlock demo                  a router and fake engines in one process
  martenlock demo --faults         30 seconds of faults under load, checked against rules

To run it, write a settings file. The demo prints the path of its own, which is a good start:

  martenlock check martenlock.ini
  martenlock serve -c martenlock.ini

The exit code is 0 on success. On an error it is 1, with a message on standard error.`

// logTimeFormat is RFC 3339 with milliseconds, to show the order of events in an incident. The default
// of zerolog has whole seconds.
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

// printf writes to the output of a command. It ignores errors: a closed output does not change the
// exit code.
func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}
