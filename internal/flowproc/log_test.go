package flowproc

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/logging"
)

// Guards against flow lines that flood the log: their rate is bounded under any load, failures have
// a limit of their own, and omitted lines are counted.
func TestVolumeOfFlowLinesIsBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger, err := logging.New(&out, "info", logging.Source{Role: "agent", Instance: "a", DataCentre: "dc1"})
	is.NoErr(err)
	l := newEventLog(Options{Log: logger})
	start := time.Unix(2_000_000_000, 0)
	const seconds, perSecond = 10, 2000
	for i := range seconds * perSecond {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		key := flow.Key{Caller: flow.Endpoint{Port: uint16(i)}}
		l.flow(now, key, "opened", false, fields{"active": 1})
		l.flow(now, key, "refused", true, fields{"reason": "crowded"})
	}
	opened := bytes.Count(out.Bytes(), []byte("outcome=opened"))
	refused := bytes.Count(out.Bytes(), []byte("outcome=refused"))
	is.True(opened <= sampledLines*(seconds+burstSeconds))
	is.True(refused <= failureLines*(seconds+burstSeconds))
	is.True(opened >= sampledLines*seconds)
	is.True(refused >= failureLines*seconds)
	is.True(bytes.Contains(out.Bytes(), []byte("omitted=")))
}
