package control

import (
	"net/netip"

	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/presence"
)

// MaxPayload is the largest encoded message, in bytes.
const MaxPayload = 1200

// Bounds of the lists in messages.
const (
	maxMembers = 64
	maxAddrs   = 64
	maxLoads   = 128
)

// messageType is the first byte of an encoded message.
type messageType byte

const (
	typeAnnounce messageType = iota + 1
	typeAnnounceAck
	typePing
	typePingAck
	typePingRequest
	typeGossip
	typeDigest
	typeStatusQuery
	typeStatusReply
)

// Message is one control message.
type Message interface {
	messageType() messageType
	// check returns an error if a required field was sent as nil, which the codec accepts.
	check() error
}

// Announce is an agent's announcement of itself to a balancer that observes it.
type Announce struct {
	Sequence uint32
	Self     MemberRecord
	// Revision is the catalog revision that is active at the agent.
	Revision int64
	// First requests the agent's owners, because the balancer has not answered yet.
	First bool
}

// AnnounceAck answers an Announce.
type AnnounceAck struct {
	Sequence uint32
	// Stream is the balancer's stream address.
	Stream addr
	// Revision is the balancer's catalog revision.
	Revision int64
	// ServiceRevision is the revision that last changed the agent's service.
	ServiceRevision int64
	// Contested is the balancer's record of the agent, if this record overrides the
	// announcement. The agent must then announce a higher incarnation.
	Contested memberList
	// Owners are the balancers that should observe the agent.
	Owners addrList
	// Balancers is a sample of other balancers.
	Balancers addrList
	// Peers is a sample of agents of the same service that accept new flows.
	Peers memberList
	// Leaving reports that the balancer is about to stop: the agent must not
	// send replies through it.
	Leaving bool
}

// Ping asks a member to answer at once.
type Ping struct {
	Sequence uint32
	Self     MemberRecord
	Revision int64
	Updates  memberList
}

// PingAck answers a Ping, directly or through the balancer that sent the Ping on request.
type PingAck struct {
	Sequence uint32
	Self     MemberRecord
	Revision int64
	// Released reports that the sender is an agent that announces itself to other balancers and not
	// to the receiver.
	Released bool
	Updates  memberList
}

// PingRequest asks a balancer to ping Target and to forward the answer.
type PingRequest struct {
	Sequence uint32
	Target   addr
	Revision int64
}

// Gossip carries membership updates to another balancer.
type Gossip struct {
	Self     MemberRecord
	Revision int64
	Updates  memberList
	Loads    loadList
}

// Digest carries the bucket checksums of a member table, which the receiver
// compares with its own.
type Digest struct {
	Self     MemberRecord
	Revision int64
	// Answer is set in a digest that answers another digest.
	Answer bool
	Sums   sums
}

// StatusQuery asks which nodes have applied a catalog revision.
type StatusQuery struct {
	// Query is the number of the query, which the reply repeats.
	Query uint32
	// Wanted is the revision that the query asks about.
	Wanted int64
	// Relay asks the receiver to query the other balancers of its data centre and
	// to reply for all of them.
	Relay bool
}

// StatusReply answers a StatusQuery. It covers the sender and the agents of which
// it is the first owner, or the whole data centre of the sender.
type StatusReply struct {
	Query uint32
	// DataCentre is set in a reply for a whole data centre.
	DataCentre string
	// Balancers and Agents count the nodes that the reply covers.
	Balancers, Agents uint32
	// Lagging counts the covered nodes that have not applied the revision.
	Lagging uint32
	// Silent counts the balancers of the data centre that did not reply.
	Silent uint32
	// Sample lists some of the lagging and silent nodes.
	Sample addrList
}

// loadReport is the load of one agent.
type loadReport struct {
	Addr        netip.AddrPort
	Incarnation uint64
	Sequence    uint32
	Load        uint8
}

// MemberRecord is a member in the compact encoding of messages.
type MemberRecord member.Member

type (
	addr       netip.AddrPort
	addrList   []netip.AddrPort
	memberList []member.Member
	loadList   []loadReport
	sums       [presence.Buckets]uint32
)

func (*Announce) messageType() messageType    { return typeAnnounce }
func (*AnnounceAck) messageType() messageType { return typeAnnounceAck }
func (*Ping) messageType() messageType        { return typePing }
func (*PingAck) messageType() messageType     { return typePingAck }
func (*PingRequest) messageType() messageType { return typePingRequest }
func (*Gossip) messageType() messageType      { return typeGossip }
func (*Digest) messageType() messageType      { return typeDigest }
func (*StatusQuery) messageType() messageType { return typeStatusQuery }
func (*StatusReply) messageType() messageType { return typeStatusReply }

func (m *Announce) check() error    { return checkMember(member.Member(m.Self)) }
func (m *AnnounceAck) check() error { return checkAddr(netip.AddrPort(m.Stream)) }
func (m *Ping) check() error        { return checkMember(member.Member(m.Self)) }
func (m *PingAck) check() error     { return checkMember(member.Member(m.Self)) }
func (m *PingRequest) check() error { return checkAddr(netip.AddrPort(m.Target)) }
func (m *Gossip) check() error      { return checkMember(member.Member(m.Self)) }
func (m *Digest) check() error      { return checkMember(member.Member(m.Self)) }
func (*StatusQuery) check() error   { return nil }
func (*StatusReply) check() error   { return nil }
