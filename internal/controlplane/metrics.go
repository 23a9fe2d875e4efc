package controlplane

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/almondledge/almondledge/internal/control"
)

// Register adds the metrics of this driver to a set.
func (d *Driver) Register(set *metrics.Set) {
	for class := range control.Classes {
		gauge := func(name string, value func(control.Usage) uint64) {
			set.NewGauge(fmt.Sprintf(`almondledge_control_%s_total{class=%q}`, name, class), func() float64 {
				usage, _, _ := d.Usage()
				return float64(value(usage[class]))
			})
		}
		gauge("sent_bytes", func(u control.Usage) uint64 { return u.Bytes })
		gauge("sent_datagrams", func(u control.Usage) uint64 { return u.Datagrams })
		gauge("deferred_datagrams", func(u control.Usage) uint64 { return u.Deferred })
	}
	set.NewGauge("almondledge_control_stream_sent_bytes_total", func() float64 { return float64(d.streamSent.Load()) })
	set.NewGauge("almondledge_control_stream_received_bytes_total", func() float64 { return float64(d.streamReceived.Load()) })
	set.NewGauge("almondledge_catalog_revision", func() float64 { return float64(d.Catalog().Revision()) })
	set.NewGauge("almondledge_catalog_services", func() float64 { return float64(d.Catalog().Len()) })
	set.NewGauge("almondledge_ready", func() float64 {
		if d.Ready() {
			return 1
		}
		return 0
	})
	d.registerCounters(set)
}

func (d *Driver) registerCounters(set *metrics.Set) {
	counters := []struct {
		name string
		get  func(control.Counters) uint64
	}{
		{"stale_configurations_refused", func(c control.Counters) uint64 { return c.StaleRefused }},
		{"bad_messages", func(c control.Counters) uint64 { return c.BadMessages }},
		{"refutations", func(c control.Counters) uint64 { return c.Refutations }},
		{"suspicions", func(c control.Counters) uint64 { return c.Suspicions }},
		{"deaths", func(c control.Counters) uint64 { return c.Deaths }},
		{"contested_announcements", func(c control.Counters) uint64 { return c.ContestedAnnouncements }},
		{"failed_pulls", func(c control.Counters) uint64 { return c.FailedPulls }},
		{"freezes", func(c control.Counters) uint64 { return c.Freezes }},
	}
	for _, counter := range counters {
		set.NewGauge("almondledge_control_"+counter.name+"_total", func() float64 { return float64(counter.get(d.Counters())) })
	}
}
