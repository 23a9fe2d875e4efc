package faults

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/lab/caller"
	"github.com/almondledge/almondledge/internal/lab/deploy"
	"github.com/almondledge/almondledge/internal/lab/load"
)

func emptyStep() *step {
	return newStep(&deploy.Deployment{}, rand.New(rand.NewPCG(1, 1)), make(map[*deploy.Process]int))
}

func TestEvaluate(t *testing.T) {
	killed := &deploy.Host{Agent: &deploy.Process{Name: "agent-1"}, Backend: &deploy.Process{Name: "backend-1"}}
	cases := map[string]struct {
		planned bool
		kill    bool
		counts  load.Snapshot
		want    string
	}{
		"all answered":              {true, false, load.Snapshot{}, ""},
		"flow broken":               {false, false, load.Snapshot{BrokenBy: map[string]int{"backend-1": 2}}, "2 flows broken"},
		"flow of the killed host":   {false, true, load.Snapshot{BrokenBy: map[string]int{"backend-1": 2, "": 1}}, ""},
		"flow of another host":      {false, true, load.Snapshot{BrokenBy: map[string]int{"backend-2": 1}}, "1 flows broken"},
		"request cut":               {false, false, load.Snapshot{CutBy: map[string]int{"": 1}}, "1 requests cut"},
		"request of killed host":    {false, true, load.Snapshot{CutBy: map[string]int{"backend-1": 1}}, ""},
		"wrong answer":              {false, true, load.Snapshot{Verdicts: map[caller.Verdict]int{caller.Wrong: 1}}, "1 answers wrong"},
		"unknown in planned change": {true, false, load.Snapshot{Verdicts: map[caller.Verdict]int{caller.Unknown: 1}}, "1 requests of unknown outcome"},
		"unknown after a kill":      {false, true, load.Snapshot{Verdicts: map[caller.Verdict]int{caller.Unknown: 1}}, ""},
		"timed out in planned":      {true, false, load.Snapshot{Verdicts: map[caller.Verdict]int{caller.TimedOut: 1}}, "1 requests without an answer"},
		"not opened in planned":     {true, false, load.Snapshot{Verdicts: map[caller.Verdict]int{caller.NotSent: 1}}, "1 flows not opened"},
		"refused in planned":        {true, false, load.Snapshot{Verdicts: map[caller.Verdict]int{caller.NotRun: 9}}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := emptyStep()
			if c.kill {
				s.allowBreaks(killed)
			}
			if c.counts.Verdicts == nil {
				c.counts.Verdicts = make(map[caller.Verdict]int)
			}
			c.counts.Verdicts[caller.Answered] = 1
			is.Equal(strings.Join(evaluate("fault", c.planned, s, c.counts).Violations, "; "), c.want)
		})
	}
	idle := evaluate("fault", false, emptyStep(), load.Snapshot{})
	is.New(t).Equal(idle.Violations, []string{"no request was answered"}) // a step in which no request was answered must fail
}

func TestLateEffectsAreAllowed(t *testing.T) {
	is := is.New(t)
	first, second := emptyStep(), emptyStep()
	first.allowBreaks(&deploy.Host{Agent: &deploy.Process{Name: "agent-1"}, Backend: &deploy.Process{Name: "backend-1"}})
	second.inheritAllowed(first)
	broken, allowed := second.splitAllowed(map[string]int{"backend-1": 3, "backend-2": 1})
	is.Equal(broken, 1)
	is.Equal(allowed, 3)
}

func TestCleanupsRunInReverseEvenAfterAnError(t *testing.T) {
	is := is.New(t)
	s := emptyStep()
	var order []int
	for i := range 3 {
		s.addCleanup(func(context.Context) error {
			order = append(order, i)
			if i == 2 {
				return context.Canceled
			}
			return nil
		})
	}
	is.True(s.cleanUp(t.Context()) != nil)
	is.Equal(order, []int{2, 1, 0})
}

func TestSelect(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Select(nil)), len(All()))
	names := make(map[string]bool)
	for _, f := range All() {
		is.True(!names[f.Name])
		names[f.Name] = true
		is.True(f.Duration > 0 && f.Duration < time.Minute)
		is.True(f.inject != nil)
	}
	selected := Select([]string{"store-down", "agent-kill"})
	is.Equal(len(selected), 3)
	is.Equal(len(Select([]string{"none"})), 0)
}

func TestReportCollectsViolations(t *testing.T) {
	is := is.New(t)
	r := &Report{Place: "birlik", Load: &load.Report{Violations: []string{"booked twice"}}, Results: []Result{
		{Name: "agent-stop", Planned: true, Violations: []string{"1 flows broken"}},
		{Name: "calm", Planned: true},
	}}
	r.collectViolations()
	is.Equal(r.Violations, []string{"agent-stop: 1 flows broken", "booked twice"})
	is.NoErr(r.WriteJSON(t.TempDir()))
	var table strings.Builder
	is.NoErr(r.WriteTable(&table))
	is.True(strings.Contains(table.String(), "BROKEN: 1 flows broken"))
}
