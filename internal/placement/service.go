package placement

import "github.com/almondledge/almondledge/internal/rendezvous"

// ServiceHash returns the hash that identifies a service in messages between processes. It detects
// processes that disagree; a collision costs one hop and breaks nothing, because agents also check
// names against their own desired state.
func ServiceHash(name string) uint32 {
	return uint32(rendezvous.HashName(name))
}

// ServiceByHash returns the name of the service with the given hash that some agent serves, or "".
func (d *Directory) ServiceByHash(hash uint32) string {
	for name := range d.services {
		if ServiceHash(name) == hash {
			return name
		}
	}
	return ""
}
