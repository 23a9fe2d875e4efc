// Package linkmetrics counts the envelopes that a process refuses, by reason.
package linkmetrics

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"

	"github.com/almondledge/almondledge/internal/envelope"
)

// Refusals counts refused envelopes by reason.
type Refusals struct {
	// Misdirected counts authentic envelopes whose content is not meant for this role
	// or instance. The receiver increments it after opening the envelope.
	Misdirected *metrics.Counter

	malformed *metrics.Counter
	forged    *metrics.Counter
	replayed  *metrics.Counter
}

// NewRefusals registers the counters in set.
func NewRefusals(set *metrics.Set) *Refusals {
	return &Refusals{
		Misdirected: set.NewCounter(`almondledge_envelopes_refused_total{reason="misdirected"}`),
		malformed:   set.NewCounter(`almondledge_envelopes_refused_total{reason="malformed"}`),
		forged:      set.NewCounter(`almondledge_envelopes_refused_total{reason="forged"}`),
		replayed:    set.NewCounter(`almondledge_envelopes_refused_total{reason="replayed"}`),
	}
}

// Count counts an envelope that could not be opened. err is the error of
// envelope.Opener.Open.
func (r *Refusals) Count(err error) {
	switch {
	case errors.Is(err, envelope.ErrReplayed):
		r.replayed.Inc()
	case errors.Is(err, envelope.ErrMalformed):
		r.malformed.Inc()
	default:
		r.forged.Inc()
	}
}

// Forged returns the number of envelopes that failed authentication.
func (r *Refusals) Forged() uint64 { return r.forged.Get() }
