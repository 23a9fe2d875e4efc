package agent

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/almondledge/almondledge/internal/linkmetrics"
	"github.com/almondledge/almondledge/internal/opening"
)

// Metrics holds the packet and flow counters of an agent.
type Metrics struct {
	refusals         *linkmetrics.Refusals
	queueFull        *metrics.Counter
	noBalancer       *metrics.Counter
	unsent           *metrics.Counter
	otherService     *metrics.Counter
	malformed        *metrics.Counter
	openingDelivered *metrics.Counter
	openingRefused   *metrics.Counter
	openingForwarded *metrics.Counter
	openingDropped   *metrics.Counter
	flows            *metrics.Counter
}

// NewMetrics registers the counters in set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		refusals:         linkmetrics.NewRefusals(set),
		queueFull:        set.NewCounter("almondledge_receive_queue_full_total"),
		noBalancer:       set.NewCounter("almondledge_replies_without_balancer_total"),
		unsent:           set.NewCounter("almondledge_datagrams_unsent_total"),
		otherService:     set.NewCounter(`almondledge_envelopes_refused_total{reason="other_service"}`),
		malformed:        set.NewCounter(`almondledge_envelopes_refused_total{reason="not_quic"}`),
		openingDelivered: set.NewCounter(`almondledge_opening_packets_total{fate="delivered"}`),
		openingRefused:   set.NewCounter(`almondledge_opening_packets_total{fate="refused"}`),
		openingForwarded: set.NewCounter(`almondledge_opening_packets_total{fate="passed"}`),
		openingDropped:   set.NewCounter(`almondledge_opening_packets_total{fate="dropped"}`),
		flows:            set.NewCounter("almondledge_flows_total"),
	}
}

// countAction counts an opening packet by the action taken.
func (m *Metrics) countAction(action opening.Action) {
	switch action {
	case opening.Deliver:
		m.openingDelivered.Inc()
	case opening.Refuse:
		m.openingRefused.Inc()
	case opening.Forward:
		m.openingForwarded.Inc()
	case opening.Drop:
		m.openingDropped.Inc()
	}
}
