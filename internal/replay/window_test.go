package replay

import (
	"math/rand/v2"
	"testing"
)

// A window that forgets a number accepts a replayed datagram; one that marks a wrong
// number rejects a new datagram. A set of all accepted numbers is the reference.
func TestWindowAgreesWithSet(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var window Window
	seen := make(map[uint64]bool)
	highest := uint64(0)
	for range 200_000 {
		seq := highest + uint64(random.IntN(8))
		if back := uint64(random.IntN(3 * Size)); random.IntN(2) == 0 && back < seq {
			seq -= back
		}
		if seq == 0 {
			continue
		}
		want := !seen[seq] && (seq > highest || highest-seq < Size)
		if got := window.Accept(seq); got != want {
			t.Fatalf("Accept(%d) = %v with highest %d, want %v", seq, got, highest, want)
		}
		if want {
			seen[seq] = true
		}
		highest = max(highest, seq)
	}
}
