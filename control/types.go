package control

import "time"

// Time is a point on the caller's clock, in microseconds from an arbitrary origin.
type Time uint64

// Add returns t plus d, truncated to microseconds.
func (t Time) Add(d time.Duration) Time { return Time(int64(t) + d.Microseconds()) }

// Sub returns the duration from u to t. It is negative if u is later.
func (t Time) Sub(u Time) time.Duration { return time.Duration(int64(t)-int64(u)) * time.Microsecond }

// RequestID identifies a request at one router. The caller must not use an id twice.
type RequestID uint32

// AttemptNumber numbers the attempts of a request at one router, from 0.
type AttemptNumber int

// EndpointID identifies an engine. It stays the same when the engine restarts.
type EndpointID uint64

// Tokens is a number of tokens. Estimates may have a fraction.
type Tokens float64
