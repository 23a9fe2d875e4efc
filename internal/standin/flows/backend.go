package flows

import (
	"github.com/almondledge/almondledge/internal/flow"
)

// Backend is a backend server's end of flows. It answers each request, which is
// one packet with data, with a packet that carries its name. It is not safe for
// concurrent use.
type Backend struct {
	// Name begins the data of every answer.
	Name string
	// Wire is the packet format.
	Wire Wire
	// Echo adds the request to the answer.
	Echo bool
	// Full refuses new flows.
	Full bool
	// Runs counts the requests that it has worked on.
	Runs int
	// OnRun, if set, is called with each request, and OnOpen with each opening packet
	// that is taken.
	OnRun  func(request []byte)
	OnOpen func(key flow.Key)
	isn    uint32
	flows  map[flow.Key]*backendFlow
}

type backendFlow struct {
	// first and next are the numbers of the first byte that it sends and after the last.
	first, next uint32
	// expected is the number of the next request.
	expected uint32
	// request is the number of the last request, answer what was sent for it.
	request uint32
	answer  []byte
}

// isnStep sets the first numbers of flows far apart, as random ones are.
const isnStep = 1 << 24

// NewBackend returns a backend server without flows. Different seeds give different
// first numbers.
func NewBackend(name string, seed uint32) *Backend {
	return &Backend{Name: name, Wire: Codec{}, isn: seed * 7919 * 65537, flows: map[flow.Key]*backendFlow{}}
}

// Holds reports whether it holds a flow.
func (b *Backend) Holds(key flow.Key) bool { return b.flows[key] != nil }

// Len returns the number of flows that it holds.
func (b *Backend) Len() int { return len(b.flows) }

// Handle takes a packet and returns the packets that it sends.
func (b *Backend) Handle(raw []byte) [][]byte {
	p, err := b.Wire.Parse(raw)
	if err != nil {
		return nil
	}
	key := p.CallerKey()
	f := b.flows[key]
	switch {
	case p.Opens() && f == nil && b.Full, !p.Opens() && !f.isMeant(&p):
		p.Flags |= flow.Returned
		return [][]byte{b.Wire.Build(p, data(&p))}
	case p.Opens():
		if f == nil {
			b.isn += isnStep + 12345
			f = &backendFlow{first: b.isn + 1, next: b.isn + 1, expected: p.Seq + 1}
			b.flows[key] = f
			if b.OnOpen != nil {
				b.OnOpen(key)
			}
		}
		return [][]byte{b.build(key, flow.SYN|flow.ACK, f.next-1, p.Seq+1, nil)}
	case p.Flags.Has(flow.RST) || p.Flags.Has(flow.FIN):
		delete(b.flows, key)
		return [][]byte{b.build(key, flow.FIN|flow.ACK, f.next, p.Seq+1, nil)}
	case p.Length == 0:
		return nil
	case f.answer != nil && p.Seq == f.request:
		return [][]byte{f.answer} // the answer was lost on its way
	case p.Seq != f.expected:
		return nil // a copy of an older request that was held up
	}
	f.expected = p.Seq + uint32(p.Length)
	b.Runs++
	if b.OnRun != nil {
		b.OnRun(data(&p))
	}
	answer := []byte(b.Name)
	if b.Echo {
		answer = append(append(answer, ' '), data(&p)...)
	}
	f.request = p.Seq
	f.answer = b.build(key, flow.ACK, f.next, p.Seq+uint32(p.Length), answer)
	f.next += uint32(len(answer))
	return [][]byte{f.answer}
}

func (b *Backend) build(key flow.Key, flags flow.Flags, seq, ack uint32, data []byte) []byte {
	return b.Wire.Build(flow.Packet{Src: key.ServiceAddr, Dst: key.Caller, Flags: flags, Seq: seq, Ack: ack}, data)
}

// isMeant reports whether a packet belongs to the flow as this backend server has
// answered it: the caller acknowledges only numbers of the backend server that it
// has chosen.
func (f *backendFlow) isMeant(p *flow.Packet) bool {
	if f == nil || !p.Flags.Has(flow.ACK) {
		return f != nil
	}
	return int32(p.Ack-f.first) >= 0 && int32(f.next-p.Ack) >= 0
}

// data returns what a packet carries behind its head.
func data(p *flow.Packet) []byte { return p.Raw[len(p.Raw)-p.Length:] }
