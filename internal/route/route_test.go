package route_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/flow"
	"github.com/almondledge/almondledge/internal/route"
)

func TestPickFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	r := route.Route{Shares: []route.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := map[string]int{}
	for port := range uint16(10_000) {
		key := flow.Key{Caller: flow.Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: port}}
		counts[r.Pick(key.Hash())]++
	}
	const tolerance = 150 // five standard deviations of 10,000 draws at one in ten
	is.True(counts["b"] > 1000-tolerance && counts["b"] < 1000+tolerance)
	is.Equal(counts["a"]+counts["b"], 10_000)
	is.True(r.Allows("b"))
	is.True(!r.Allows("c")) // its weight is zero
	is.True(!r.Allows("d"))
}

func TestRouteWithoutSharesPicksNothing(t *testing.T) {
	is := is.New(t)
	is.Equal((&route.Route{}).Pick(5), "")
}

func TestNilTableReturnsZeroValues(t *testing.T) {
	is := is.New(t)
	var none *route.Table
	is.Equal(none.Version(), uint64(0))
	is.True(none.Lookup(flow.Endpoint{}) == nil)
	is.True(none.Service("a") == nil)
}
