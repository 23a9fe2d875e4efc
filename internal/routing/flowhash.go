package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/almondledge/almondledge/internal/rendezvous"
)

// FlowHash returns the hash of an opening flow: of the connection ID that the
// caller chose, under a secret seed, so that a caller cannot choose its backend server.
func FlowHash(seed uint64, destID []byte) rendezvous.Hash {
	digest := xxhash.NewWithSeed(seed)
	_, _ = digest.Write(destID) // never fails
	return rendezvous.Hash(digest.Sum64())
}
