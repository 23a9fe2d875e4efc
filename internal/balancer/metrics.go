package balancer

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/almondledge/almondledge/internal/connid"
	"github.com/almondledge/almondledge/internal/envelope"
	"github.com/almondledge/almondledge/internal/routing"
)

// Metrics holds the packet counters of a forwarder.
type Metrics struct {
	verdicts          [routing.VerdictCount]*metrics.Counter
	keyVersions       [connid.MaxVersions]*metrics.Counter
	replies           *metrics.Counter
	replyOtherService *metrics.Counter
	foreignFabric     *metrics.Counter
	misdirected       *metrics.Counter
	refusedMalformed  *metrics.Counter
	refusedForged     *metrics.Counter
	refusedReplayed   *metrics.Counter
	unsent            *metrics.Counter
}

// NewMetrics registers the counters in set.
func NewMetrics(set *metrics.Set) *Metrics {
	m := &Metrics{
		replies:           set.NewCounter("almondledge_replies_total"),
		replyOtherService: set.NewCounter(`almondledge_replies_refused_total{reason="other_service"}`),
		foreignFabric:     set.NewCounter(`almondledge_fabric_refused_total{reason="malformed"}`),
		misdirected:       set.NewCounter(`almondledge_envelopes_refused_total{reason="misdirected"}`),
		refusedMalformed:  set.NewCounter(`almondledge_envelopes_refused_total{reason="malformed"}`),
		refusedForged:     set.NewCounter(`almondledge_envelopes_refused_total{reason="forged"}`),
		refusedReplayed:   set.NewCounter(`almondledge_envelopes_refused_total{reason="replayed"}`),
		unsent:            set.NewCounter("almondledge_datagrams_unsent_total"),
	}
	for i := range m.verdicts {
		m.verdicts[i] = set.NewCounter(fmt.Sprintf("almondledge_packets_total{verdict=%q}", routing.Verdict(i)))
	}
	for i := range m.keyVersions {
		m.keyVersions[i] = set.NewCounter(fmt.Sprintf(`almondledge_connection_id_packets_total{key_version="%d"}`, i))
	}
	return m
}

// countRefused counts a datagram that was not opened.
func (m *Metrics) countRefused(err error) {
	switch {
	case errors.Is(err, envelope.ErrReplayed):
		m.refusedReplayed.Inc()
	case errors.Is(err, envelope.ErrMalformed):
		m.refusedMalformed.Inc()
	default:
		m.refusedForged.Inc()
	}
}

func (m *Metrics) countUnsent(count int) {
	if count > 0 {
		m.unsent.Add(count)
	}
}
