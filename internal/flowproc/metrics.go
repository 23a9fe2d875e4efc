package flowproc

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/telemetry"
)

// counters are the metrics of one process. Their number does not depend on the number of services,
// routes or members.
type counters struct {
	telemetry *telemetry.Process

	// peerBytes counts the bytes sent to other members by datagram type.
	peerBytes                 [hop.TypeMembership + 1]*metrics.Counter
	sendErrors, badDatagrams  *metrics.Counter
	fetchErrors, stateChanges *metrics.Counter
	outcomes                  []*metrics.Counter
	// answerTime is the time from an opening packet to the backend server's answer.
	answerTime *metrics.Histogram
	// waitTime is the time that an opened flow has waited for its backend server.
	waitTime *metrics.Histogram
	// stateTime is the time from the start of a fetch or read of a newer desired state to its activation.
	stateTime *metrics.Histogram
	// readyTime is the time from the start of a balancer until it is ready for the first time.
	readyTime *metrics.Histogram
	// hops is the number of agents that forwarded a packet before it was delivered.
	hops *metrics.Histogram
}

func newCounters(c *core) *counters {
	process := telemetry.New(c.Ready)
	set := process.Set()
	m := &counters{
		telemetry:    process,
		sendErrors:   set.NewCounter("almondledge_send_errors_total"),
		badDatagrams: set.NewCounter("almondledge_bad_datagrams_total"),
		fetchErrors:  set.NewCounter("almondledge_state_fetch_errors_total"),
		stateChanges: set.NewCounter("almondledge_state_changes_total"),
		answerTime:   set.NewHistogram("almondledge_flow_answer_seconds"),
		waitTime:     set.NewHistogram("almondledge_opening_wait_seconds"),
		stateTime:    set.NewHistogram("almondledge_state_fetch_seconds"),
		readyTime:    set.NewHistogram("almondledge_ready_after_start_seconds"),
		hops:         set.NewHistogram("almondledge_packet_hops"),
	}
	for _, t := range hop.Types() {
		m.peerBytes[t] = set.NewCounter(`almondledge_peer_sent_bytes_total{type="` + t.String() + `"}`)
	}
	set.NewGauge("almondledge_state_version", func() float64 { return float64(c.table().Version()) })
	set.NewGauge("almondledge_state_age_seconds", func() float64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.follower.Age(time.Now()).Seconds()
	})
	set.NewGauge("almondledge_bad_records", func() float64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return float64(c.node.BadRecords())
	})
	for _, liveness := range []fleet.Liveness{fleet.Alive, fleet.Leaving, fleet.Suspect, fleet.Dead} {
		set.NewGauge(`almondledge_members{liveness="`+liveness.String()+`"}`, func() float64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			return float64(c.node.Count(liveness))
		})
	}
	if ring := c.opt.Ring; ring != nil {
		set.NewGauge("almondledge_log_lines_dropped", func() float64 { return float64(ring.Dropped()) })
	}
	return m
}

// addGauge registers a value that is guarded by core.mu.
func (c *core) addGauge(name string, value func() int) {
	c.metrics.telemetry.Set().NewGauge(name, func() float64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return float64(value())
	})
}

// addTable registers the size of a table, which is guarded by core.mu, and its limit.
func (c *core) addTable(name string, size func() int, limit int) {
	set := c.metrics.telemetry.Set()
	c.addGauge(`almondledge_table_entries{table="`+name+`"}`, size)
	set.NewGauge(`almondledge_table_limit{table="`+name+`"}`, func() float64 { return float64(limit) })
}

// setOutcomes registers one counter for each outcome of a packet.
func (m *counters) setOutcomes(names []string) {
	for _, name := range names {
		m.outcomes = append(m.outcomes, m.telemetry.Set().NewCounter(`almondledge_packets_total{outcome="`+name+`"}`))
	}
}

// serveMetrics serves metrics until ctx ends. If the address cannot be bound, the process continues
// without metrics.
func (c *core) serveMetrics(ctx context.Context) error {
	if !c.cfg.Metrics.IsValid() {
		return nil
	}
	listener, err := c.opt.Network.ListenTCP(c.cfg.Metrics)
	if err != nil {
		c.log.failure("metrics are not served", err, fields{})
		return nil
	}
	mux := http.NewServeMux()
	c.metrics.telemetry.Register(mux, func(http.Handler) http.Handler { return http.NotFoundHandler() })
	return serveHTTP(ctx, listener, mux)
}

// serveHTTP serves handler until ctx ends.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}
