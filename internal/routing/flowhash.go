package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/almondledge/almondledge/internal/rendezvous"
)

// FlowHash returns the hash of the destination connection ID of an opening flow. The
// caller chose that ID, so the seed must be secret: otherwise a caller could choose
// its backend server.
func FlowHash(seed uint64, destID []byte) rendezvous.Hash {
	digest := xxhash.NewWithSeed(seed)
	_, _ = digest.Write(destID) // writing to a hash never fails
	return rendezvous.Hash(digest.Sum64())
}
