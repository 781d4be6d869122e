package control

import "time"

// Time is a point on the caller's clock, in microseconds from any origin.
type Time uint64

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time { return Time(int64(t) + d.Microseconds()) }

// Sub returns the duration from u to t. It is negative if u is later.
func (t Time) Sub(u Time) time.Duration { return time.Duration(int64(t)-int64(u)) * time.Microsecond }

// RequestID identifies a request at this router. No id is used twice.
type RequestID uint32

// AttemptNumber is the position of an attempt among those of its request, from 0.
type AttemptNumber int

// EndpointID identifies an engine. It survives restarts of the engine.
type EndpointID uint64

// Tokens is a number of tokens. Estimates need not be whole.
type Tokens float64
