package fleet

import (
	"fmt"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/network"
)

// Ranges of the fields of a member record.
const (
	// maxNameBytes bounds the names of data centres and services, so that a datagram has room for other records.
	maxNameBytes = 255
	// maxMillis bounds times in Unix milliseconds. Larger numbers are not exact in all encodings.
	maxMillis = 1 << 53
	// maxRevision leaves room for the revisions by which a member refutes records about itself.
	maxRevision = 1 << 31
)

// Validate returns an error of kind Invalid for the first field that is out of range, or nil. A record with such a
// field comes from another program. It must not enter the table, from which it would spread to all members.
func (m *Member) Validate() error {
	switch {
	case !network.IsInstanceAddr(m.Addr): // the hash ring relies on IPv4 addresses
		return invalidRecord("address", m.Addr)
	case m.Role != Balancer && m.Role != Agent:
		return invalidRecord("role", uint8(m.Role))
	case len(m.DataCentre) > maxNameBytes:
		return invalidRecord("length of the data centre's name", len(m.DataCentre))
	case m.Incarnation > maxMillis:
		return invalidRecord("incarnation", m.Incarnation)
	case m.Revision > maxRevision:
		return invalidRecord("revision", m.Revision)
	case m.Liveness > Dead:
		return invalidRecord("liveness", uint8(m.Liveness))
	}
	return m.Backend.validate()
}

func (b *Backend) validate() error {
	switch {
	case len(b.Service) > maxNameBytes:
		return invalidRecord("length of the service's name", len(b.Service))
	case b.State > BackendGone:
		return invalidRecord("state of the backend server", uint8(b.State))
	case b.StartMillis < 0 || b.StartMillis > maxMillis:
		return invalidRecord("start time of the backend server", b.StartMillis)
	}
	return nil
}

func invalidRecord(field string, value any) error {
	return errkind.New(errkind.Invalid, fmt.Sprintf("member record has a %s out of range: %v", field, value),
		"check which program sends it, and that all processes run the same release")
}
