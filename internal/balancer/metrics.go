package balancer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/almondledge/almondledge/internal/connid"
	"github.com/almondledge/almondledge/internal/linkmetrics"
	"github.com/almondledge/almondledge/internal/routing"
)

// Metrics holds the packet counters of a forwarder.
type Metrics struct {
	refusals          *linkmetrics.Refusals
	verdicts          [routing.VerdictCount]*metrics.Counter
	keyVersions       [connid.MaxVersions]*metrics.Counter
	replies           *metrics.Counter
	replyOtherService *metrics.Counter
	malformedFabric   *metrics.Counter
	unsent            *metrics.Counter
}

// NewMetrics registers the counters in set.
func NewMetrics(set *metrics.Set) *Metrics {
	m := &Metrics{
		refusals:          linkmetrics.NewRefusals(set),
		replies:           set.NewCounter("almondledge_replies_total"),
		replyOtherService: set.NewCounter(`almondledge_replies_refused_total{reason="other_service"}`),
		malformedFabric:   set.NewCounter(`almondledge_fabric_refused_total{reason="malformed"}`),
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

func (m *Metrics) countUnsent(count int) {
	if count > 0 {
		m.unsent.Add(count)
	}
}
