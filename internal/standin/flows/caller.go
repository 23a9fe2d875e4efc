package flows

import "github.com/almondledge/almondledge/internal/flow"

// Caller is the caller's endpoint of one flow. It is not safe for concurrent use.
type Caller struct {
	Key  flow.Key
	Wire Wire
	// Open is set once the flow is open, Reset once it was reset.
	Open, Reset bool
	// Answers are the data of the answers in the order of their arrival.
	Answers []string
	seq     uint32 // the last request starts at sequence number seq+1
	ack     uint32 // next sequence number expected from the backend server
	// openings counts the opening packets sent. An opening packet carries this
	// count as its acknowledgement number, so that copies differ.
	openings uint32
	// lastSize is the size of the last request; pending is 1 until it is answered, then 0.
	lastSize, pending uint32
}

// NewCaller returns the caller's endpoint of a flow that is not open yet.
func NewCaller(key flow.Key) *Caller {
	return &Caller{Key: key, Wire: Codec{}, seq: uint32(key.Hash())}
}

// Next returns the caller's endpoint of the next flow from the same port. Like those of real callers, its initial
// sequence number is unrelated to that of the earlier flow.
func (c *Caller) Next() *Caller {
	next := NewCaller(c.Key)
	next.Wire, next.seq = c.Wire, c.seq+isnStep
	return next
}

// Opening returns the opening packet, or a further copy of it.
func (c *Caller) Opening() []byte {
	raw := c.build(flow.SYN, c.seq, c.openings, nil)
	c.openings++
	return raw
}

// Request returns a packet with a request. While the last request is unanswered,
// text must equal the text of that request, and the packet is a copy. The flow
// must be open.
func (c *Caller) Request(text string) []byte {
	if c.pending == 0 {
		c.seq += c.lastSize
		c.lastSize, c.pending = uint32(len(text)), 1
	}
	return c.build(flow.ACK, c.seq+1, c.ack, []byte(text))
}

// Close returns a packet that ends the flow.
func (c *Caller) Close() []byte {
	return c.build(flow.FIN|flow.ACK, c.seq+c.lastSize+1, c.ack, nil)
}

// Handle processes a received packet and returns the packet to send in response, or nil.
func (c *Caller) Handle(raw []byte) []byte {
	p, err := c.Wire.Parse(raw)
	if err != nil || p.BackendKey() != c.Key {
		return nil
	}
	switch {
	case p.Flags.Has(flow.RST):
		// A reset may have any sequence number while the flow is not open. On an open flow
		// it counts only if its sequence number is near the expected one.
		near := int32(p.Seq-c.ack) < 76_800 && int32(p.Seq-c.ack) > -76_800
		c.Reset = c.Reset || !c.Open || near
		return nil
	case p.Flags.Has(flow.SYN):
		if !c.Open {
			c.Open = true
			c.ack = p.Seq + 1
		}
		return c.build(flow.ACK, c.seq+1, c.ack, nil)
	case p.Length > 0 && p.Seq == c.ack:
		c.ack += uint32(p.Length)
		c.Answers = append(c.Answers, string(payload(&p)))
		c.pending = 0
	}
	return c.build(flow.ACK, c.seq+1, c.ack, nil)
}

func (c *Caller) build(flags flow.Flags, seq, ack uint32, data []byte) []byte {
	return c.Wire.Build(flow.Packet{Src: c.Key.Caller, Dst: c.Key.ServiceAddr, Flags: flags, Seq: seq, Ack: ack}, data)
}
