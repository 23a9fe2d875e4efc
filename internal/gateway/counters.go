package gateway

import "github.com/VictoriaMetrics/metrics"

// counters holds the metrics of a Gateway.
type counters struct {
	outcomes           map[Outcome]*metrics.Counter
	relays             *metrics.Counter
	slotQueries        *metrics.Counter
	slotQueriesRefused *metrics.Counter
	resends            *metrics.Counter
	retries            *metrics.Counter
	relayOtherService  *metrics.Counter
	relayHopLimit      *metrics.Counter
	relayExpired       *metrics.Counter
	wrongHost          *metrics.Counter
	keyRefused         *metrics.Counter
	truncatedAnswers   *metrics.Counter
	servedDraining     *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{
		outcomes:           make(map[Outcome]*metrics.Counter),
		relays:             set.GetOrCreateCounter(`almondledge_relays_total`),
		slotQueries:        set.GetOrCreateCounter(`almondledge_free_slot_asks_total`),
		slotQueriesRefused: set.GetOrCreateCounter(`almondledge_free_slot_asks_refused_total`),
		resends:            set.GetOrCreateCounter(`almondledge_relay_reasks_total`),
		retries:            set.GetOrCreateCounter(`almondledge_request_retries_total`),
		relayOtherService:  set.GetOrCreateCounter(`almondledge_relays_refused_total{cause="other-service"}`),
		relayHopLimit:      set.GetOrCreateCounter(`almondledge_relays_refused_total{cause="hop-limit"}`),
		relayExpired:       set.GetOrCreateCounter(`almondledge_relays_refused_total{cause="expired"}`),
		wrongHost:          set.GetOrCreateCounter(`almondledge_requests_refused_total{cause="wrong-host"}`),
		keyRefused:         set.GetOrCreateCounter(`almondledge_requests_refused_total{cause="key"}`),
		truncatedAnswers:   set.GetOrCreateCounter(`almondledge_answers_cut_total`),
		servedDraining:     set.GetOrCreateCounter(`almondledge_requests_served_while_draining_total`),
	}
	for _, o := range []Outcome{OutcomeRun, OutcomeNotRun, OutcomeUnknown, OutcomeInProgress} {
		c.outcomes[o] = set.GetOrCreateCounter(`almondledge_requests_total{outcome="` + string(o) + `"}`)
	}
	return c
}
