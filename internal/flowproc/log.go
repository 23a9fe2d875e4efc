package flowproc

import (
	"time"

	"golang.org/x/time/rate"

	apex "github.com/apex/log"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/logging"
	"github.com/almondledge/almondledge/internal/logring"
)

// fields are the key-value pairs of one log line.
type fields = apex.Fields

// Limits of log lines per second and process.
const (
	// sampledLines bounds the lines about ordinary decisions, failureLines the lines about refused, ended or
	// lost flows.
	sampledLines = 20
	failureLines = 100
	// burstSeconds is the size of a burst: the number of seconds whose allowed lines may be written at once.
	burstSeconds = 2
)

// eventLog logs changes of the process's state, and a bounded number of lines about flows.
type eventLog struct {
	logger   apex.Interface
	ring     *logring.Writer
	samples  *rate.Limiter
	failures *rate.Limiter
	// omitted counts the decisions and failures not logged since the last line about a flow.
	omitted int
}

func newEventLog(opt Options) *eventLog {
	return &eventLog{
		logger:   opt.Log,
		ring:     opt.Ring,
		samples:  rate.NewLimiter(sampledLines, sampledLines*burstSeconds),
		failures: rate.NewLimiter(failureLines, failureLines*burstSeconds),
	}
}

// event logs a change of the process's state or of its view of the members.
func (l *eventLog) event(message string, pairs fields) {
	l.logger.WithFields(pairs).Info(message)
}

// failure logs a failed dependency.
func (l *eventLog) failure(message string, err error, pairs fields) {
	logging.WithError(l.logger.WithFields(pairs), err).Warn(message)
}

// boundedFailure logs a failure that other programs can cause as often as they like.
func (l *eventLog) boundedFailure(now time.Time, message string, err error, pairs fields) {
	if !l.failures.AllowN(now, 1) {
		l.omitted++
		return
	}
	l.failure(message, err, pairs)
}

func (l *eventLog) member(m fleet.Member) {
	pairs := fields{
		logging.FieldPeer: m.Addr,
		"role_of_peer":    m.Role,
		"liveness":        m.Liveness,
		"incarnation":     m.Incarnation,
		"revision":        m.Revision,
	}
	if m.Role == fleet.Agent {
		pairs[logging.FieldService] = m.Backend.Service
		pairs["backend"] = m.Backend.State
		pairs["born"] = m.Backend.StartMillis
	}
	l.event("member changed", pairs)
}

// flow logs the decision about a packet that opened, refused or lost a flow. Lines about ordinary
// decisions are omitted while the output is slow.
func (l *eventLog) flow(now time.Time, key flow.Key, outcome string, failed bool, pairs fields) {
	limit := l.samples
	if failed {
		limit = l.failures
	}
	hasRoom := failed || l.ring == nil || l.ring.HasRoom()
	if !hasRoom || !limit.AllowN(now, 1) {
		l.omitted++
		return
	}
	pairs["flow"] = key
	pairs["outcome"] = outcome
	if l.omitted > 0 {
		pairs["omitted"] = l.omitted
		l.omitted = 0
	}
	entry := l.logger.WithFields(pairs)
	if failed {
		entry.Warn("flow")
		return
	}
	entry.Info("flow")
}
