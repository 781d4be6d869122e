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

// defaultScenarioName names the built-in scenario in error messages.
const defaultScenarioName = "faultscenario.ini"

// Scenario is a fault scenario: a load and faults.
type Scenario struct {
	Length      time.Duration // time for which requests are sent
	RequestRate float64       // requests a second
	Seed        int           // seed of all random choices
	Loads       []Load
	Faults      []Fault
}

// Load is one type of request of a scenario. Shares are between 0 and 1.
type Load struct {
	Name            string
	Class           string  // request class in the router's settings
	Share           float64 // share of all requests, relative to the other loads' shares
	API             openai.API
	StreamShare     float64          // share of requests with a streamed answer
	Effect          invariant.Effect // effect of a second execution
	DedupWindow     time.Duration    // time within which engines drop a retry with the same key
	Deadline        time.Duration    // longest time that a client waits
	MinPromptTokens int
	MaxPromptTokens int
	AnswerTokens    int     // greatest length of an answer
	Items           int     // inputs of an embeddings request, documents of a rerank request
	DisconnectShare float64 // share of clients that disconnect early
	SlowReaderShare float64 // share of clients that read slowly
}

// RunOptions configure the run of a scenario.
type RunOptions struct {
	Rules    invariant.Limits // limits that the rules compare with; see Rules
	Listen   string           // address of the router
	LogLevel string           // log level of the router
	Log      io.Writer        // log of the router
	Out      io.Writer        // for progress and measurements
}

// RunFaultScenario runs the scenario in a file, or the built-in one if path is empty. The report says whether the five rules
// held. It returns an error and no report if the file can't be read, a fault can't be injected or the router can't run.
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
