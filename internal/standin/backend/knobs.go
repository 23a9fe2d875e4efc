package backend

import (
	"fmt"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
)

// maxKnobMillis bounds every time in the knobs, in milliseconds.
const maxKnobMillis = 600_000

// Knobs configures the faults of the backend server. The zero value injects no
// faults.
type Knobs struct {
	// SlowMillis is added to the time of each request, in milliseconds.
	SlowMillis int64 `json:"slowMillis,omitempty"`
	// ShedShare is the share of requests answered 503 without running, from 0 to 1.
	ShedShare float64 `json:"shedShare,omitempty"`
	// ColdStartMillis is the time after a start in which requests are slow, in milliseconds.
	ColdStartMillis int64 `json:"coldStartMillis,omitempty"`
	// ColdSlowMillis is added to each request right after a start; it falls to
	// zero over ColdStartMillis.
	ColdSlowMillis int64 `json:"coldSlowMillis,omitempty"`
	// CutAfterBytes is the number of bytes of an answer's body after which the connection
	// is closed. Zero cuts no answer.
	CutAfterBytes int64 `json:"cutAfterBytes,omitempty"`
	// ReportLoad is the share of occupied slots that /load reports instead of the
	// true share.
	ReportLoad *float64 `json:"reportLoad,omitempty"`
	// Unhealthy makes /healthz fail while requests are still served.
	Unhealthy bool `json:"unhealthy,omitempty"`
}

// Validate returns an error of kind errkind.Invalid that names the bad field, or nil.
func (k Knobs) Validate() error {
	if !(k.ShedShare >= 0 && k.ShedShare <= 1) {
		return invalid("shedShare", k.ShedShare, "use a share from 0 to 1")
	}
	if k.ReportLoad != nil && !(*k.ReportLoad >= 0 && *k.ReportLoad <= 1) {
		return invalid("reportLoad", *k.ReportLoad, "use a share from 0 to 1")
	}
	if k.CutAfterBytes < 0 {
		return invalid("cutAfterBytes", k.CutAfterBytes, "use 0 to cut nothing, or a positive number")
	}
	times := []struct {
		name   string
		millis int64
	}{{"slowMillis", k.SlowMillis}, {"coldStartMillis", k.ColdStartMillis}, {"coldSlowMillis", k.ColdSlowMillis}}
	for _, t := range times {
		if t.millis < 0 || t.millis > maxKnobMillis {
			return invalid(t.name, t.millis, fmt.Sprintf("use 0 to %d ms", maxKnobMillis))
		}
	}
	return nil
}

func invalid(field string, value any, remedy string) error {
	return errkind.New(errkind.Invalid, fmt.Sprintf("backend knob %s has the bad value %v", field, value), remedy)
}

// isWarm reports whether the cold start is over at uptime.
func (k Knobs) isWarm(uptime time.Duration) bool {
	return uptime >= time.Duration(k.ColdStartMillis)*time.Millisecond
}

// addedTime returns the time that the knobs add to a request that arrives at uptime.
func (k Knobs) addedTime(uptime time.Duration) time.Duration {
	added := time.Duration(k.SlowMillis) * time.Millisecond
	if !k.isWarm(uptime) {
		coldStart := time.Duration(k.ColdStartMillis) * time.Millisecond
		left := 1 - float64(uptime)/float64(coldStart)
		added += time.Duration(left * float64(k.ColdSlowMillis) * float64(time.Millisecond))
	}
	return added
}
