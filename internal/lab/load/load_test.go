package load

import (
	"errors"
	"net/netip"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/lab/caller"
)

func TestArrivalsFollowSeedAndRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		times := func(seed uint64) (out []time.Duration) {
			start := time.Now()
			runArrivals(t.Context(), start, 100*time.Second, newArrivals(seed, 0, 50), func(intended time.Time) {
				is.Equal(time.Now(), intended)
				out = append(out, intended.Sub(start))
			})
			return out
		}
		a := times(1)
		is.Equal(a, times(1))
		is.True(len(a) > 4700 && len(a) < 5300) // 5000 expected, with a standard deviation of 71
		is.True(times(2)[0] != a[0])
	})
}

// playBooking passes the answers in turn to a booking, then Unknown until the booking ends.
// It returns the attempts and the requests sent, as name/key.
func playBooking(answers []caller.Answer, key string) ([]Attempt, []string) {
	b, step := newBooking("b", key)
	var sent []string
	for !step.done {
		sent = append(sent, step.attempt+"/"+step.key)
		a := caller.Answer{Verdict: caller.Unknown}
		if len(answers) > 0 {
			a, answers = answers[0], answers[1:]
		}
		step = b.handleAnswer(a)
	}
	return b.attempts, sent
}

func TestBookingRepeats(t *testing.T) {
	answer := func(v caller.Verdict, key string) caller.Answer { return caller.Answer{Verdict: v, Key: key} }
	cases := map[string]struct {
		key      string
		answers  []caller.Answer
		sent     string
		attempts []Attempt
	}{
		"answered": {"k", []caller.Answer{answer(caller.Answered, "")},
			"b.1/k", []Attempt{{"b.1", Confirmed}}},
		"key comes with the refusal": {"", []caller.Answer{answer(caller.KeyNeeded, "k"), answer(caller.Answered, "")},
			"b.1/ b.1/k", []Attempt{{"b.1", Confirmed}}},
		"cut is repeated with the same key": {"k", []caller.Answer{answer(caller.Cut, ""), answer(caller.InProgress, "x"), answer(caller.Answered, "")},
			"b.1/k b.1/k b.1/k", []Attempt{{"b.1", Confirmed}}},
		"cut without a key is not repeated": {"", []caller.Answer{answer(caller.Cut, "")},
			"b.1/", []Attempt{{"b.1", OutcomeUnknown}}},
		"not run goes out under another name": {"k", []caller.Answer{answer(caller.NotRun, "x"), answer(caller.Answered, "")},
			"b.1/k b.2/x", []Attempt{{"b.1", ReportedNotRun}, {"b.2", Confirmed}}},
		"unknown stays unknown": {"k", nil,
			"b.1/k b.1/k b.1/k b.1/k", []Attempt{{"b.1", OutcomeUnknown}}},
		"not sent after a cut is not known": {"k", []caller.Answer{answer(caller.Cut, ""), answer(caller.NotSent, ""), answer(caller.NotRun, "x"), answer(caller.Failed, "")},
			"b.1/k b.1/k b.1/k b.2/x", []Attempt{{"b.1", ReportedNotRun}, {"b.2", OutcomeFailed}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			attempts, sent := playBooking(c.answers, c.key)
			is.Equal(strings.Join(sent, " "), c.sent)
			is.Equal(attempts, c.attempts)
		})
	}
}

func TestBookingStopsAfterMaxSends(t *testing.T) {
	is := is.New(t)
	unsent := make([]caller.Answer, 100)
	for i := range unsent {
		unsent[i].Verdict = caller.NotSent
	}
	attempts, sent := playBooking(unsent, "k")
	is.Equal(len(sent), maxBookingSends)
	is.Equal(attempts, []Attempt{{"b.1", NeverSent}})
}

func TestLedgerCheckFindsViolations(t *testing.T) {
	is := is.New(t)
	bookings := [][]Attempt{
		{{"fine.1", ReportedNotRun}, {"fine.2", Confirmed}},
		{{"twice.1", Confirmed}},
		{{"both.1", OutcomeUnknown}, {"both.2", Confirmed}},
		{{"ran.1", ReportedNotRun}},
		{{"lost.1", Confirmed}},
		{{"open.1", OutcomeUnknown}},
	}
	runs := map[string]int{"fine.2": 1, "twice.1": 2, "both.1": 1, "both.2": 1, "ran.1": 1, "open.1": 1}
	check := checkBookings(bookings, runs)
	is.Equal(check.Made, 6)
	is.Equal(check.Twice, []string{"twice.1", "both.2"})
	is.Equal(check.NotRunThatRan, []string{"ran.1"})
	is.Equal(check.ConfirmedWithoutRun, []string{"lost.1"})
	is.Equal(check.Outcomes, map[Outcome]int{Confirmed: 4, ReportedNotRun: 1, OutcomeUnknown: 1})
	is.Equal(len(TargetReport{Name: "s", Bookings: check}.violations()), 3)
}

func TestImbalanceCountsServersWithoutAnswers(t *testing.T) {
	is := is.New(t)
	windows := []map[string]int{{"a": 100, "b": 100}, {"a": 150, "b": 50}, {"a": 1}}
	im := newImbalance(4, map[string]int{"a": 251, "b": 150}, windows, map[string]int{"a": 1, "b": 3})
	is.Equal(im.MaxOverMean, 251.0*4/401)
	is.Equal(im.Windows, 2) // the third has too few answers
	is.Equal(im.WindowP99, 3.0)
	is.Equal(im.FlowMaxOverMean, 3.0)
}

func TestLatencyCountsFromTheIntendedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		r := newRecorder(start)
		time.Sleep(3 * time.Second)
		r.record(ClassPoll, start.Add(time.Second), caller.Answer{Verdict: caller.Answered, Server: "a"})
		r.record(ClassPoll, start, caller.Answer{Verdict: caller.Cut, Err: errors.New("reset")})
		r.record(ClassSheet, start, caller.Answer{Verdict: caller.Wrong, Err: errors.New("other bytes")})
		r.recordEnd(caller.End{Broken: true, InUse: true, Agent: "a", At: time.Now(), Cause: errors.New("timeout")})
		r.recordEnd(caller.End{At: time.Now()})
		report := r.report(Target{Name: "s", Servers: 1}, nil, 1, 0, nil)
		is.Equal(report.RequestsCut, 1)
		is.Equal(report.WrongAnswers, 1)
		is.Equal(report.FlowsBroken, 1)
		is.Equal(report.FlowsBrokenInUse, 1)
		is.Equal(report.FlowsMoved, 1)
		is.Equal(report.Breaks, []BrokenFlow{{Seconds: 3, Agent: "a", InUse: true, Cause: "timeout"}})
		is.Equal(len(report.Errors), 2)
		is.Equal(report.Classes[0].Latency.Count, int64(1))
		is.True(report.Classes[0].Latency.Max > 1990 && report.Classes[0].Latency.Max < 2010) // three significant digits
		is.Equal(len(report.violations()), 1)
	})
}

func TestUsageIsTheDifferenceOfTwoReadings(t *testing.T) {
	is := is.New(t)
	sources := []MetricsSource{{Role: "agent"}, {Role: "agent"}, {Role: "balancer"}}
	read := func(text string) usage { return parseUsage(strings.NewReader(text)) }
	first := read("process_cpu_seconds_total 2\nalmondledge_control_sent_bytes_total{kind=\"a\"} 100\nalmondledge_control_sent_bytes_total{kind=\"b\"} 50\n")
	is.Equal(first.controlBytes, 150.0)
	later := read("process_cpu_seconds_total 3.5\nprocess_resident_memory_bytes 7e6\nalmondledge_control_sent_bytes_total 350\n")
	later.at = first.at.Add(10 * time.Second)
	restarted := read("process_cpu_seconds_total 1\n")
	restarted.at = later.at
	uses := roleUsages(sources, []usage{first, first, {}}, []usage{later, restarted, later})
	is.Equal(uses, []RoleUsage{{Role: "agent", Processes: 1, CPUSeconds: 1.5, MostMemoryBytes: 7e6, ControlBytesPerSecond: 20}})
}

func TestReportIsWritten(t *testing.T) {
	is := is.New(t)
	r := newRecorder(time.Now())
	r.record(ClassSheet, time.Now(), caller.Answer{Verdict: caller.Answered, Server: "a"})
	report := &Report{Targets: []TargetReport{r.report(Target{Name: "dalga-bulten"}, nil, 0, 0, nil)}, Violations: []string{"x"}}
	dir := t.TempDir()
	is.NoErr(report.WriteJSON(dir))
	is.NoErr(report.WritePlots(dir))
	var table strings.Builder
	is.NoErr(report.WriteTable(&table))
	is.True(strings.Contains(table.String(), "dalga-bulten  sheet"))
	is.True(strings.Contains(table.String(), "broken promise: x"))
	for _, name := range []string{"report.json", "latency.png", "servers.png"} {
		info, err := os.Stat(dir + "/" + name)
		is.NoErr(err)
		is.True(info.Size() > 0)
	}
}

func TestValidateNamesTheInvalidField(t *testing.T) {
	valid := func() Config {
		return Config{
			Duration:       time.Second,
			RequestTimeout: time.Second,
			Targets: []Target{{
				Name:    "s",
				Address: netip.MustParseAddrPort("127.0.0.1:443"),
				Mix:     Mix{LongFlows: 1, PollInterval: time.Second, BookingsPerSecond: 1},
			}},
		}
	}
	is.New(t).NoErr(valid().Validate())
	cases := map[string]func(*Config){
		"duration":           func(c *Config) { c.Duration = 0 },
		"request timeout":    func(c *Config) { c.RequestTimeout = 0 },
		"targets":            func(c *Config) { c.Targets = nil },
		"address of s":       func(c *Config) { c.Targets[0].Address = netip.AddrPort{} },
		"long flows of s":    func(c *Config) { c.Targets[0].Mix.LongFlows = -1 },
		"long flows ":        func(c *Config) { c.Targets[0].Mix.LongFlows = maxLongFlows + 1 },
		"poll interval of s": func(c *Config) { c.Targets[0].Mix.PollInterval = 0 },
		"rate of s":          func(c *Config) { c.Targets[0].Mix.SheetsPerSecond = -1 },
		"bookings of s":      func(c *Config) { c.Targets[0].Mix.LongFlows = 0 },
	}
	for field, invalidate := range cases {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			c := valid()
			invalidate(&c)
			err := c.Validate()
			is.Equal(errkind.Of(err), errkind.Invalid)
			is.True(strings.Contains(err.Error(), "load setting "+field))
		})
	}
}

func TestSnapshotDifference(t *testing.T) {
	is := is.New(t)
	r := newRecorder(time.Now())
	s := &Session{run: &run{targets: []*targetRun{{recorder: r}}}}
	cut := caller.Answer{Verdict: caller.Cut, Agent: "a", Err: errors.New("reset")}
	r.record(ClassPoll, time.Now(), cut)
	r.record(ClassPoll, time.Now().Add(-time.Minute), caller.Answer{Verdict: caller.Answered})
	first := s.Snapshot()
	is.True(first.Slowest >= time.Minute)
	is.Equal(len(first.Errors), 1)
	r.recordRetry(ClassBooking, cut)
	r.recordEnd(caller.End{Broken: true, Agent: "b"})
	r.recordEnd(caller.End{})
	since := s.Snapshot().Since(first)
	is.Equal(len(since.Errors), 1)
	since.Errors = nil // the text contains a time
	is.Equal(since, Snapshot{
		Verdicts: map[caller.Verdict]int{caller.Cut: 1},
		BrokenBy: map[string]int{"b": 1},
		CutBy:    map[string]int{"a": 1},
		Moved:    1,
	})
}
