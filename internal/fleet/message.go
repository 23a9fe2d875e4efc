package fleet

import (
	"net/netip"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/msgshape"
)

// messageType is the type of a protocol message.
type messageType uint8

const (
	// typePing requests an immediate answer.
	typePing messageType = iota + 1
	// typeAck answers a ping.
	typeAck
	// typePingRequest asks the receiver to ping Target and forward the answer.
	typePingRequest
	// typeUpdates carries updates.
	typeUpdates
	// typeTable carries a part of the sender's table, because tables differ or because the receiver
	// asked for it.
	typeTable
)

// Load is the load of an agent's backend server.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Flows is the number of open flows, Active the number of requests in progress.
	Flows, Active uint16
}

// message is any datagram between members.
type message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Type messageType
	// Sequence identifies the probe of a ping, a ping request or an ack. In a table message it is the time since the
	// death of the dead members in it in milliseconds, or zero if the sender does not state it.
	Sequence uint32
	// From is the sender's record of itself.
	From Member
	Load Load
	// Sum is the hash of the sender's table, Version the version of its desired state.
	Sum     uint64
	Version uint64
	// Count is the number of members in the sender's table.
	Count uint32
	// AgeMS is the time since the sender's desired state was last confirmed as the newest.
	AgeMS uint32
	// WantTable is set if the sender asks for the receiver's table.
	WantTable bool
	// Target is the member to ping in a ping request, or the member that answered in an ack. In other messages see
	// setComplete.
	Target netip.AddrPort
	// Members holds updates or a part of a table.
	Members []Member
}

// setComplete states that the sender's table is complete. A message with another number of fields could not be read by
// earlier releases, so the sender's own address as the target of a message without a target says so.
func (m *message) setComplete() { m.Target = m.From.Addr }

// statesComplete reports whether the sender states that its table is complete.
func (m *message) statesComplete() bool {
	hasNoTarget := m.Type == typePing || m.Type == typeUpdates || m.Type == typeTable
	return hasNoTarget && m.Target == m.From.Addr
}

// maxDatagramMembers keeps datagrams below the usual path MTU.
const maxDatagramMembers = 14

func encode(m *message) ([]byte, error) {
	payload, err := msgpack.Marshal(m)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "membership message cannot be encoded", "report this as a fault of almondledge")
	}
	return payload, nil
}

// messageLimits bound the shape of a datagram.
var messageLimits = msgshape.Limits{Depth: 8, Length: 64, Elements: 2048}

func decode(payload []byte) (*message, error) {
	if err := msgshape.Check(payload, messageLimits); err != nil {
		return nil, err
	}
	m := &message{}
	if err := msgpack.Unmarshal(payload, m); err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "membership message cannot be read", "check that all processes run the same release")
	}
	if m.Type < typePing || m.Type > typeTable || len(m.Members) > maxDatagramMembers {
		return nil, errkind.New(errkind.Invalid, "membership message has fields out of range", "check that all processes run the same release")
	}
	if err := m.From.Validate(); err != nil {
		return nil, err
	}
	return m, nil
}
