package contacts_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/contacts"
)

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func TestLatestContactsComeFirst(t *testing.T) {
	is := is.New(t)
	var list contacts.List
	list = list.Add([]netip.AddrPort{addr(1), addr(2)})
	list = list.Add([]netip.AddrPort{addr(3), addr(1), addr(3)})
	is.Equal(list, contacts.List{addr(3), addr(1), addr(2)})
	is.Equal(list.Add(nil), list)
}

// Contacts are found as long as a process runs, so a list must not grow without end.
func TestEarliestContactsAreDropped(t *testing.T) {
	is := is.New(t)
	var list contacts.List
	for i := range 3 * contacts.Max {
		list = list.Add([]netip.AddrPort{addr(i)})
	}
	is.Equal(len(list), contacts.Max)
	is.Equal(list[0], addr(3*contacts.Max-1))
	is.Equal(list[contacts.Max-1], addr(2*contacts.Max))
}
