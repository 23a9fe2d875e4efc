package keyring

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Names of metrics.
const (
	// metricLastUse is the Unix time at which a packet of a version was last
	// received, or zero for never. It shows operators when a version may be removed.
	metricLastUse = "almondledge_packet_key_last_use_seconds"
	// metricCurrent is 1 for the current version and 0 for the other accepted versions.
	metricCurrent = "almondledge_packet_key_current"
)

// Register adds the metrics of the versions to set. Each scrape lists the
// versions that are accepted at that time.
func (r *Ring) Register(set *metrics.Set) {
	set.RegisterMetricsWriter(func(w io.Writer) {
		current := r.Current()
		for _, keys := range r.Versions() {
			label := fmt.Sprintf(`{version="%d"}`, keys.Version)
			metrics.WriteGaugeUint64(w, metricLastUse+label, uint64(keys.lastUse.Load()))
			var isCurrent uint64
			if keys == current {
				isCurrent = 1
			}
			metrics.WriteGaugeUint64(w, metricCurrent+label, isCurrent)
		}
	})
}
