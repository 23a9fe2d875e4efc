package fleet

import (
	"net/netip"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/almondledge/almondledge/internal/errkind"
)

// messageType tells the messages of the protocol apart.
type messageType uint8

const (
	// typePing asks for an answer at once.
	typePing messageType = iota + 1
	// typeAck answers a ping.
	typeAck
	// typePingRequest asks to ping Target and to pass its answer on.
	typePingRequest
	// typeNews carries changes.
	typeNews
	// typeTable carries a part of the sender's table, because tables differ or the
	// receiver asked for it.
	typeTable
)

// Load is how busy an agent's backend server is.
type Load struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Flows is the number of open flows, Active that of requests in progress.
	Flows, Active uint16
}

// message is any datagram between members.
type message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Type     messageType
	Sequence uint32
	// From is the sender's statement about itself.
	From Member
	Load Load
	// Sum is the hash of the sender's table, TableVersion that of its desired state.
	Sum     uint64
	Version uint64
	// Count is the number of members in the sender's table.
	Count uint32
	// AgeMS is how long ago the sender's desired state was last confirmed as the newest.
	AgeMS uint32
	// Ask is set when the sender wants the receiver's table.
	Ask bool
	// Target is the subject of a ping request, or the member that an ack speaks for.
	Target netip.AddrPort
	// Members are changes or a part of a table.
	Members []Member
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

func decode(payload []byte) (*message, error) {
	m := &message{}
	if err := msgpack.Unmarshal(payload, m); err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "membership message cannot be read", "check that all processes run the same release")
	}
	if m.Type < typePing || m.Type > typeTable || !m.From.Addr.IsValid() || len(m.Members) > maxDatagramMembers {
		return nil, errkind.New(errkind.Invalid, "membership message has fields out of range", "check that all processes run the same release")
	}
	return m, nil
}
