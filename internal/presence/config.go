// Package presence holds one node's view of the other members: which are
// present, in which state, and which of them may be offered new flows.
//
// The table is a pure data structure: time is an argument, and no result
// depends on the order of map iteration.
package presence

import "time"

// Config sets the rules of a table. Zero fields take their defaults.
type Config struct {
	// SelfPreservationShare is a share of the members of a group. If more than this
	// share fails within SelfPreservationWindow, self-preservation starts: the
	// failed members stay routable, because a wrong view of this node is then
	// likelier than actual failures.
	SelfPreservationShare float64
	// SelfPreservationMinimum is the number of failures below which
	// self-preservation does not start.
	SelfPreservationMinimum int
	// SelfPreservationWindow is the time within which failures count as one event.
	SelfPreservationWindow time.Duration
	// SelfPreservationTime is how long failed members stay routable while other
	// members of their group are alive. While no member of the group is alive, they
	// stay routable without limit.
	SelfPreservationTime time.Duration
	// DeadRetention is how long the record of a dead member is kept.
	DeadRetention time.Duration
	// RampTime is the time over which the weight of a warming member grows to its full value.
	RampTime time.Duration
}

// Defaults of Config.
const (
	defaultSelfPreservationShare   = 1.0 / 3
	defaultSelfPreservationMinimum = 2
	defaultSelfPreservationWindow  = 10 * time.Second
	defaultSelfPreservationTime    = 15 * time.Second
	defaultDeadRetention           = 10 * time.Minute
	defaultRampTime                = 30 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.SelfPreservationShare, defaultSelfPreservationShare)
	setDefault(&c.SelfPreservationMinimum, defaultSelfPreservationMinimum)
	setDefault(&c.SelfPreservationWindow, defaultSelfPreservationWindow)
	setDefault(&c.SelfPreservationTime, defaultSelfPreservationTime)
	setDefault(&c.DeadRetention, defaultDeadRetention)
	setDefault(&c.RampTime, defaultRampTime)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
