package spread

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func measure(where place, scene scenario, p policy) Metrics {
	options := Options{Load: 0.7, SlotQueryShare: 0.8, Span: 20 * time.Second, Seed: 1}
	return newRun(options, where, 0, scene, p).run()
}

// productPolicy is the policy that the agents run.
func productPolicy() policy { return policies()[len(policies())-1] }

// The open flows of the smallest service stay within a tenth of the mean in the
// cases in which every host is there all the time and as fast as the others.
func TestFlowsStayWithinATenthOfTheMean(t *testing.T) {
	where := places()[3]
	for _, scene := range scenarios()[:3] {
		t.Run(scene.name, func(t *testing.T) {
			is := is.New(t)
			got := measure(where, scene, productPolicy())
			is.True(got.Flows.Mean > 1)
			is.True(got.Flows.P99 < 1.10)
			is.Equal(got.FlowsRefused, 0)
			is.Equal(got.RequestsRefused, 0)
		})
	}
}

func TestRunsAreRepeatable(t *testing.T) {
	is := is.New(t)
	where, scene := places()[3], scenarios()[6]
	first := measure(where, scene, productPolicy())
	is.Equal(first, measure(where, scene, productPolicy()))
	is.True(first != measure(where, scene, policies()[0]))
	is.Equal(first.FlowsRefused, 0) // a host that drains costs no flow
}
