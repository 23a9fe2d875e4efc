// Package presence keeps what one node knows of the other members: who is
// there, in which state, and which of them may be offered new flows.
//
// The table is a pure data structure: time is an argument, and nothing in it
// depends on the order of map iteration.
package presence

import "time"

// Config sets the rules of a table. Zero fields take their defaults.
type Config struct {
	// SelfPreservationShare is the share of a group that must fail within HoldWindow for its
	// failed members to stay routable.
	SelfPreservationShare float64
	// SelfPreservationMinimum is the number of failures below which no group is held.
	SelfPreservationMinimum int
	// SelfPreservationWindow is the time within which failures count as one event.
	SelfPreservationWindow time.Duration
	// SelfPreservationTime is how long failed members stay routable while others of their
	// group are alive. A group with nobody alive stays routable without limit.
	SelfPreservationTime time.Duration
	// DeadRetention is how long a dead member is remembered.
	DeadRetention time.Duration
	// RampTime is the time over which a warming member gains its full weight.
	RampTime time.Duration
}

// Defaults of Config.
const (
	defaultHoldShare   = 1.0 / 3
	defaultHoldMinimum = 2
	defaultHoldWindow  = 10 * time.Second
	defaultHoldTime    = 15 * time.Second
	defaultDeadTime    = 10 * time.Minute
	defaultRampTime    = 30 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.SelfPreservationShare, defaultHoldShare)
	setDefault(&c.SelfPreservationMinimum, defaultHoldMinimum)
	setDefault(&c.SelfPreservationWindow, defaultHoldWindow)
	setDefault(&c.SelfPreservationTime, defaultHoldTime)
	setDefault(&c.DeadRetention, defaultDeadTime)
	setDefault(&c.RampTime, defaultRampTime)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
