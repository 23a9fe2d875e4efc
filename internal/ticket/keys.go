package ticket

import (
	"fmt"
	"net/netip"

	"github.com/almondledge/almondledge/internal/service"
)

// Keys in the platform's store. The values under one prefix have one type.
const (
	// Root is the prefix of all keys.
	Root = "/almondledge/v1/"
	// ServicePrefix holds a ServiceRecord for each service ID ever used.
	ServicePrefix = Root + "services/"
	// NamePrefix holds an Owner for each service name in use.
	NamePrefix = Root + "names/"
	// AddressPrefix holds an Owner for each service address ever used, also
	// after the service was removed.
	AddressPrefix = Root + "addresses/"
	// IDPrefix holds a Reference for each ticket ID.
	IDPrefix = Root + "tickets/id/"
	// NumberPrefix holds a Record for each ticket number.
	NumberPrefix = Root + "tickets/number/"
	// CounterKey holds the number of the last ticket.
	CounterKey = Root + "tickets/counter"
)

// numberDigits is the zero-padded width of ticket numbers in keys, so that keys
// sort by number.
const numberDigits = 12

// ServiceKey returns the key of a service's ServiceRecord.
func ServiceKey(id service.ID) string { return fmt.Sprintf("%s%05d", ServicePrefix, id) }

// NameKey returns the key of the Owner of a service name.
func NameKey(name string) string { return NamePrefix + name }

// AddressKey returns the key of the Owner of a service address.
func AddressKey(address netip.AddrPort) string { return AddressPrefix + address.String() }

// IDKey returns the key of the Reference of a ticket ID.
func IDKey(id string) string { return IDPrefix + id }

// NumberKey returns the key of the audit record with a ticket number.
func NumberKey(number int64) string {
	return fmt.Sprintf("%s%0*d", NumberPrefix, numberDigits, number)
}
