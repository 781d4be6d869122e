// Command simadapter connects the simulator's protocol to the control package. It reads batches of events
// from standard input and writes one reply for each batch to standard output. It hosts one control.Router for
// each instance. Instances share only the endpoint tables of the protocol.
package main

import (
	"fmt"
	"os"
)

func main() {
	err := answerBatches(os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
