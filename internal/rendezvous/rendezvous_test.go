package rendezvous_test

import (
	"math"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/rendezvous"
)

func member(i int) rendezvous.Hash {
	return rendezvous.HashAddr(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000))
}

// first returns the member with the highest score for a key.
func first(key rendezvous.Hash, members []int, weight func(int) float64) int {
	best, bestScore := -1, math.Inf(-1)
	for _, m := range members {
		if score := rendezvous.WeightedScore(key, member(m), weight(m)); score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

func equal(int) float64 { return 1 }

const keys = 20_000

func TestWeightedSharesFollowTheWeights(t *testing.T) {
	is := is.New(t)
	weight := func(m int) float64 { return float64(m) }
	got := map[int]int{}
	for s := range keys {
		got[first(rendezvous.Hash(s), []int{0, 1, 2, 3}, weight)]++
	}
	is.Equal(got[0], 0)
	for m := 1; m <= 3; m++ {
		want := float64(keys*m) / 6
		is.True(math.Abs(float64(got[m])-want) < 4*math.Sqrt(want)) // four standard deviations
	}
}

func TestRemovedMemberMovesOnlyItsKeys(t *testing.T) {
	is := is.New(t)
	for s := range keys {
		before := first(rendezvous.Hash(s), []int{1, 2, 3, 4}, equal)
		after := first(rendezvous.Hash(s), []int{1, 2, 4}, equal)
		is.True(before == 3 || before == after)
	}
}

// Score orders members like WeightedScore with equal weights, so both may be used for the same key.
func TestScoreOrdersAsEqualWeightsDo(t *testing.T) {
	is := is.New(t)
	for s := range keys {
		key := rendezvous.Hash(s)
		a, b := member(1), member(2)
		byScore := rendezvous.Score(key, a) > rendezvous.Score(key, b)
		is.Equal(byScore, rendezvous.WeightedScore(key, a, 1) > rendezvous.WeightedScore(key, b, 1))
	}
}

func TestNamesAndAddressesDiffer(t *testing.T) {
	is := is.New(t)
	is.True(rendezvous.HashName("a") != rendezvous.HashName("b"))
	is.True(member(1) != member(2))
}
