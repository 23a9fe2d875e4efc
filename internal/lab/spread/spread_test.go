package spread

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func measure(w workload, sc scenario, p policy) Metrics {
	options := Options{Load: 0.7, SlotQueryShare: 0.8, Span: 20 * time.Second, Seed: 1}
	return newRun(options, w, 0, sc, p).run()
}

// agentPolicy returns the policy that the agents use.
func agentPolicy() policy { return policies()[len(policies())-1] }

// Guards against policies that let one host collect flows: with all hosts present and
// equally fast, the open flows of each host of the smallest service stay within a tenth of
// the mean.
func TestFlowsStayWithinATenthOfTheMean(t *testing.T) {
	w := workloads()[3]
	for _, sc := range scenarios()[:3] {
		t.Run(sc.name, func(t *testing.T) {
			is := is.New(t)
			got := measure(w, sc, agentPolicy())
			is.True(got.Flows.Mean > 1)
			is.True(got.Flows.P99 < 1.10)
			is.Equal(got.FlowsRefused, 0)
			is.Equal(got.RequestsRefused, 0)
		})
	}
}

func TestRunsAreRepeatable(t *testing.T) {
	is := is.New(t)
	w, sc := workloads()[3], scenarios()[6]
	first := measure(w, sc, agentPolicy())
	is.Equal(first, measure(w, sc, agentPolicy()))
	is.True(first != measure(w, sc, policies()[0]))
	is.Equal(first.FlowsRefused, 0) // draining a host refuses no flow
}
