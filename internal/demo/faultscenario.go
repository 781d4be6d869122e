package demo

import (
	_ "embed"
	"io"
	"os"
	"time"

	"martenlock/internal/invariant"
	"martenlock/internal/openai"
)

// defaultScenario is the built-in fault scenario.
//
//go:embed faultscenario.ini
var defaultScenario []byte

// defaultScenarioName is the name of the built-in scenario in error messages.
const defaultScenarioName = "faultscenario.ini"

// Scenario is a fault scenario: the requests to send and the faults to inject.
type Scenario struct {
	Duration    time.Duration // time during which requests are sent
	RequestRate float64       // requests per second
	Seed        int           // seed of all random choices
	Loads       []Load
	Faults      []Fault
}

// Load is one type of request of a scenario. Shares are between 0 and 1.
type Load struct {
	Name            string
	Class           string  // request class in the router's settings
	Share           float64 // share of all requests, after division by the sum of all loads' shares
	API             openai.API
	StreamShare     float64          // share of requests with a streamed answer
	Effect          invariant.Effect // whether a request may be executed more than once
	DedupWindow     time.Duration    // time during which engines deduplicate a request; see invariant.IdempotentWithKey
	Deadline        time.Duration    // longest deadline of a request
	MinPromptTokens int
	MaxPromptTokens int
	AnswerTokens    int     // maximum length of an answer
	Items           int     // inputs of an embeddings request or documents of a rerank request
	DisconnectShare float64 // share of clients that disconnect soon after sending
	SlowReaderShare float64 // share of clients that read slowly if the answer is streamed
}

// RunOptions configure the run of a scenario.
type RunOptions struct {
	Limits   invariant.Limits // limits for checking the rules, usually the variable Limits
	Listen   string           // address of the router
	LogLevel string           // log level of the router
	Log      io.Writer        // gets the router's log
	Out      io.Writer        // gets progress and measurements
}

// RunFaultScenario runs the scenario in a file, or the built-in one if path is empty. The report says whether the five rules
// held. RunFaultScenario returns an error and no report if the file is invalid, a fault can't be injected, the router
// can't run or Out fails. If only stopping the router or the engines fails, it returns both the report and an error.
func RunFaultScenario(path string, options RunOptions) (*invariant.Report, error) {
	scenario, err := loadScenario(path)
	if err != nil {
		return nil, err
	}
	return scenario.Run(options)
}

// loadScenario reads the scenario in a file, or the built-in one if path is empty.
func loadScenario(path string) (*Scenario, error) {
	if path == "" {
		return ParseScenario(defaultScenarioName, defaultScenario)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseScenario(path, text)
}
