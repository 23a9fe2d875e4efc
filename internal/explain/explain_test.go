package explain_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/explain"
)

const (
	placed = `time=2026-05-27T16:45:53.005Z level=info role=balancer instance=front-1 data_centre=a message=flow flow=100.64.0.8:1025>198.18.0.2:8443 outcome=placed service=s to=10.1.0.6:7140 version=2`
	opened = `time=2026-05-27T16:45:53.006Z level=info role=agent instance=side-3 data_centre=a message=flow active=0 flow=100.64.0.8:1025>198.18.0.2:8443 open=1 outcome=opened version=2`
	ended  = `time=2026-05-27T16:45:55.100Z level=warn role=agent instance=side-2 data_centre=a message=flow flow=100.64.0.8:1025>198.18.0.2:8443 omitted=3 outcome=ended reason=no_agent_has_it`
	other  = `time=2026-05-27T16:45:54.000Z level=warn role=agent instance=side-2 data_centre=a message=flow flow=100.64.0.9:1025>198.18.0.2:8443 omitted=4 outcome=ended reason=x`
	member = `time=2026-05-27T16:45:54.900Z level=info role=agent instance=side-2 data_centre=a message="member changed" liveness=dead peer=10.1.0.6:7140`
	far    = `time=2026-05-27T17:45:54.900Z level=info role=agent instance=side-2 data_centre=a message="member changed" liveness=dead peer=10.1.0.9:7140`
)

func explainLogs(t *testing.T, flow string, logs ...string) string {
	t.Helper()
	s := explain.New(flow)
	for _, log := range logs {
		if err := s.Read(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	var b strings.Builder
	if err := s.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func TestTimelineOfAFlow(t *testing.T) {
	is := is.New(t)
	text := explainLogs(t, "100.64.0.8:1025", ended+"\n"+opened+"\n"+member+"\n"+far, placed, other)
	is.True(strings.Index(text, "outcome=placed") < strings.Index(text, "outcome=opened"))
	is.True(strings.Index(text, "outcome=opened") < strings.Index(text, "outcome=ended"))
	is.True(strings.Contains(text, "no agent's backend server held the flow"))
	is.True(strings.Contains(text, "peer=10.1.0.6:7140"))
	is.True(!strings.Contains(text, "10.1.0.9"))      // an hour later
	is.True(!strings.Contains(text, "100.64.0.9"))    // another flow
	is.True(strings.Contains(text, "4 decisions"))    // the omitted decisions near the flow
	is.True(!strings.Contains(text, "no line of an")) // there are lines of both roles
}

func TestTimelineFromDamagedLogs(t *testing.T) {
	is := is.New(t)
	torn := placed[:60] + "\n" + `time=2026-05-27T16:45:53.005Z message="open` + "\n"
	// A log collector has put the time of arrival before a line, and sent the line twice.
	text := explainLogs(t, "100.64.0.8:1025", torn+"34.1 side-3 "+opened+"\n"+opened+"\n")
	is.Equal(strings.Count(text, "outcome=opened"), 1)
	is.True(strings.Contains(text, "2 lines could not be read"))
	is.True(strings.Contains(text, "1 lines came twice"))
	is.True(strings.Contains(text, "no line of a balancer"))
}

func TestFlowWithoutLines(t *testing.T) {
	is := is.New(t)
	is.True(strings.Contains(explainLogs(t, "100.64.0.77:1", placed), "No line about flow"))
}

func FuzzRead(f *testing.F) {
	f.Add(placed)
	f.Add(`time="`)
	f.Fuzz(func(t *testing.T, text string) {
		s := explain.New("100.64.0.8:1025")
		_ = s.Read(strings.NewReader(text))
		var b strings.Builder
		if err := s.Write(&b); err != nil {
			t.Fatal(err)
		}
	})
}
