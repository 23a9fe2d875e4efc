package stream

import (
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/almondledge/almondledge/internal/logging"
)

// metricRefused counts refused stream connections.
const metricRefused = "almondledge_stream_connections_refused_total"

// Recorder is an Observer that counts refused connections and logs them at a
// limited rate.
type Recorder struct {
	refused *metrics.Counter
	limited *logging.RateLimitedLogger
}

// NewRecorder returns an observer with its counter in set.
func NewRecorder(set *metrics.Set, limited *logging.RateLimitedLogger) *Recorder {
	return &Recorder{refused: set.NewCounter(metricRefused), limited: limited}
}

// ConnectionRefused counts and logs one refused connection.
func (r *Recorder) ConnectionRefused(remote net.Addr, reason error) {
	r.refused.Inc()
	r.limited.Warn(time.Now(), "stream connection refused", log.Fields{logging.FieldPeer: remote, "error": reason})
}
