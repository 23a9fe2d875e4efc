// Package contacts keeps the addresses of processes that a process may contact besides those in its settings, such as the
// balancers that it finds in the rosters.
package contacts

import (
	"net/netip"
	"slices"
)

// Max is the number of addresses that a List keeps.
const Max = 64

// List is a list of addresses, the most recently found ones first. The zero value is empty.
type List []netip.AddrPort

// Add returns the list with the found addresses, without duplicates, before the earlier ones. The earliest ones are dropped if
// there are more than Max.
func (l List) Add(found []netip.AddrPort) List {
	added := make(List, 0, len(found)+len(l))
	for _, a := range slices.Concat(found, l) {
		if len(added) < Max && !slices.Contains(added, a) {
			added = append(added, a)
		}
	}
	return added
}
