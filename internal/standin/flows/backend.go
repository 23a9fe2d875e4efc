package flows

import (
	"github.com/almondledge/almondledge/internal/flow"
)

// Backend is the backend server's endpoint of flows. It answers each request, which is
// one packet with data, with a packet that carries its name. It is not safe for
// concurrent use.
type Backend struct {
	// Name begins the data of every answer.
	Name string
	// Wire is the packet format.
	Wire Wire
	// Echo adds the request to the answer.
	Echo bool
	// Full makes the backend server return the opening packets of new flows.
	Full bool
	// Breaks makes the backend server end a flow with a reset when a request arrives, without running it.
	Breaks bool
	// Runs counts the requests that the backend server has run, without copies.
	Runs int
	// OnRun, if set, is called with each request that is run, OnOpen with each flow that is
	// opened, and OnOpening for each opening packet that is received.
	OnRun     func(request []byte)
	OnOpen    func(key flow.Key)
	OnOpening func()
	isn       uint32
	flows     map[flow.Key]*backendFlow
}

type backendFlow struct {
	// first is the sequence number of the first byte sent, next is the sequence
	// number after the last byte sent.
	first, next uint32
	// expected is the sequence number of the next request.
	expected uint32
	// request is the sequence number of the last request, answer the packet sent for it.
	request uint32
	answer  []byte
}

// isnStep keeps the initial sequence numbers of flows far apart, as random
// numbers would be.
const isnStep = 1 << 24

// NewBackend returns a backend server without flows. Different seeds give different
// initial sequence numbers.
func NewBackend(name string, seed uint32) *Backend {
	return &Backend{Name: name, Wire: Codec{}, isn: seed * 7919 * 65537, flows: map[flow.Key]*backendFlow{}}
}

// Holds reports whether the flow is open at the backend server.
func (b *Backend) Holds(key flow.Key) bool { return b.flows[key] != nil }

// Len returns the number of open flows.
func (b *Backend) Len() int { return len(b.flows) }

// Handle processes a received packet and returns the packets to send.
func (b *Backend) Handle(raw []byte) [][]byte {
	p, err := b.Wire.Parse(raw)
	if err != nil {
		return nil
	}
	key := p.CallerKey()
	f := b.flows[key]
	if p.Opens() && b.OnOpening != nil {
		b.OnOpening()
	}
	switch {
	case p.Opens() && f == nil && b.Full, !p.Opens() && !f.matches(&p):
		p.Flags |= flow.Returned
		return [][]byte{b.Wire.Build(p, payload(&p))}
	case p.Opens():
		if f == nil {
			b.isn += isnStep + 12345
			f = &backendFlow{first: b.isn + 1, next: b.isn + 1, expected: p.Seq + 1}
			b.flows[key] = f
			if b.OnOpen != nil {
				b.OnOpen(key)
			}
		}
		return [][]byte{b.build(key, flow.SYN|flow.ACK, f.first-1, p.Seq+1, nil)} // copies get the same answer
	case p.Flags.Has(flow.RST) || p.Flags.Has(flow.FIN):
		delete(b.flows, key)
		return [][]byte{b.build(key, flow.FIN|flow.ACK, f.next, p.Seq+1, nil)}
	case p.Length == 0:
		return nil
	case b.Breaks:
		delete(b.flows, key)
		return [][]byte{b.build(key, flow.RST|flow.ACK, f.next, p.Seq+1, nil)}
	case f.answer != nil && p.Seq == f.request:
		return [][]byte{f.answer} // a repeated request: its answer was lost
	case p.Seq != f.expected:
		return nil // a delayed copy of an older request
	}
	f.expected = p.Seq + uint32(p.Length)
	b.Runs++
	if b.OnRun != nil {
		b.OnRun(payload(&p))
	}
	answer := []byte(b.Name)
	if b.Echo {
		answer = append(append(answer, ' '), payload(&p)...)
	}
	f.request = p.Seq
	f.answer = b.build(key, flow.ACK, f.next, p.Seq+uint32(p.Length), answer)
	f.next += uint32(len(answer))
	return [][]byte{f.answer}
}

func (b *Backend) build(key flow.Key, flags flow.Flags, seq, ack uint32, data []byte) []byte {
	return b.Wire.Build(flow.Packet{Src: key.ServiceAddr, Dst: key.Caller, Flags: flags, Seq: seq, Ack: ack}, data)
}

// matches reports whether a packet belongs to this backend server's flow. After a
// concurrent opening at several backend servers, the caller acknowledges only the
// sequence numbers of the backend server that it has chosen.
func (f *backendFlow) matches(p *flow.Packet) bool {
	if f == nil || !p.Flags.Has(flow.ACK) {
		return f != nil
	}
	return int32(p.Ack-f.first) >= 0 && int32(f.next-p.Ack) >= 0
}

// payload returns the data that a packet carries after its header.
func payload(p *flow.Packet) []byte { return p.Raw[len(p.Raw)-p.Length:] }
