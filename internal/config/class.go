package config

import (
	"slices"
	"time"

	"martenlock/control"
	"martenlock/internal/inifile"
)

// Class is a request class of the configuration. The decision module has two classes for it, because the
// objective for the time to first token differs: an answer that is not streamed arrives only when it is complete.
type Class struct {
	Name        string
	StreamIndex int // index in Control.Classes of the class of streamed answers
	UnaryIndex  int // index in Control.Classes of the class of answers that are not streamed
}

// The values of the keys effect and scope, and their meanings by the same index.
var (
	effectValues  = []string{"safe", "keyed", "unsafe"}
	idempotencies = []control.Idempotency{control.Idempotent, control.IdempotentWithKey, control.NotIdempotent}
	scopeValues   = []string{"all", "zone", "cell"}
	dedupScopes   = []control.DedupScope{control.DedupScopeAll, control.DedupScopeZone, control.DedupScopeCell}
)

func (c *Config) parseClass(section *inifile.Section) {
	if !section.RequireName() {
		return
	}
	stream := control.Class{
		TTFTObjective:     section.Duration("aim", 0, 0, day),
		TTFTPer1000Tokens: section.Duration("aim_per_1000", 0, 0, day),
		Deadline:          section.Duration("deadline", 0, 0, day),
		ITLObjective:      section.Duration("token_aim", 0, 0, day),
		PriorityWeight:    section.Float("worth", 1, 0, maxWeight),
		LateWeightShare:   section.Float("late_worth", 0.2, 0, 1),
		Idempotency:       idempotencies[section.Choice("effect", "safe", effectValues...)],
		DedupScope:        dedupScopes[section.Choice("scope", "all", scopeValues...)],
		DedupWindow:       section.Duration("window", 0, 0, day),
		MaxAttempts:       section.Int("max_attempts", 0, 0, 100),
	}
	unary := stream
	unary.TTFTObjective = section.Duration("whole_aim", defaultUnaryObjective(&stream), 0, day)
	c.checkClass(section, &stream, &unary)
	index := len(c.Control.Classes)
	c.Control.Classes = append(c.Control.Classes, stream, unary)
	c.Classes = append(c.Classes, Class{Name: section.Name, StreamIndex: index, UnaryIndex: index + 1})
}

// defaultUnaryObjective returns the default of whole_aim: three quarters of the deadline, or the objective
// of streams if that is longer. The first byte of an answer that is not streamed comes later than that of a
// stream, but must come before the deadline.
func defaultUnaryObjective(stream *control.Class) time.Duration {
	return max(stream.TTFTObjective, stream.Deadline*3/4)
}

// checkClass records an error if keys of a class are missing or contradict each other. It records only the first
// such error.
func (c *Config) checkClass(section *inifile.Section, stream, unary *control.Class) {
	const notBelowDeadlineFormat = "%s %v is %w, want less than the deadline (%v)"
	switch {
	case stream.TTFTObjective <= 0 || stream.Deadline <= 0:
		section.AddError("aim", "%w value, aim and deadline must both be greater than 0", inifile.ErrMissing)
	case stream.TTFTObjective >= stream.Deadline:
		section.AddError("aim", notBelowDeadlineFormat, "aim", stream.TTFTObjective, inifile.ErrOutOfRange, stream.Deadline)
	case unary.TTFTObjective >= stream.Deadline:
		section.AddError("whole_aim", notBelowDeadlineFormat, "whole_aim", unary.TTFTObjective, inifile.ErrOutOfRange, stream.Deadline)
	case stream.Idempotency == control.IdempotentWithKey && stream.DedupWindow <= 0:
		section.AddError("window", "%w value, must be set if effect is keyed", inifile.ErrMissing)
	case stream.Deadline <= c.Limits.DeadlineMargin:
		section.AddError("deadline", "deadline %v is %w, want more than answer_margin (%v)", stream.Deadline, inifile.ErrOutOfRange, c.Limits.DeadlineMargin)
	}
}

// ClassIndex returns the index of a class in Classes, or -1.
func (c *Config) ClassIndex(name string) int {
	return slices.IndexFunc(c.Classes, func(class Class) bool { return class.Name == name })
}
