package placement

import "github.com/almondledge/almondledge/internal/rendezvous"

// ServiceHash names a service in messages between processes. It guards against
// processes that disagree, so a collision costs a hop and breaks nothing: agents
// check names against their own desired state as well.
func ServiceHash(name string) uint32 {
	return uint32(rendezvous.HashName(name))
}

// ServiceByHash returns the name of a service that some agent serves, or "".
func (b *Directory) ServiceByHash(hash uint32) string {
	for name := range b.services {
		if ServiceHash(name) == hash {
			return name
		}
	}
	return ""
}
