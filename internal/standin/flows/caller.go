package flows

import "github.com/almondledge/almondledge/internal/flow"

// Caller is a caller's end of one flow. It is not safe for concurrent use.
type Caller struct {
	Key  flow.Key
	Wire Wire
	// Open is set once the flow is open, Reset once it was reset.
	Open, Reset bool
	// Answers are the data of the answers in the order of their arrival.
	Answers []string
	seq     uint32
	ack     uint32
	copies  uint32
	// last is the size of the last request; sent is set until it is answered.
	last, sent uint32
}

// NewCaller returns the caller's end of a flow that is not open yet.
func NewCaller(key flow.Key) *Caller {
	return &Caller{Key: key, Wire: Codec{}, seq: uint32(key.Hash())}
}

// Opening returns the opening packet, or the next copy of it.
func (c *Caller) Opening() []byte {
	raw := c.build(flow.SYN, c.seq, c.copies, nil)
	c.copies++
	return raw
}

// Request returns a packet with a request, or a copy of the last one while that is
// unanswered; the flow must be open.
func (c *Caller) Request(text string) []byte {
	if c.sent == 0 {
		c.seq += c.last
		c.last, c.sent = uint32(len(text)), 1
	}
	return c.build(flow.ACK, c.seq+1, c.ack, []byte(text))
}

// Close returns a packet that ends the flow.
func (c *Caller) Close() []byte {
	return c.build(flow.FIN|flow.ACK, c.seq+c.last+1, c.ack, nil)
}

// Handle takes a packet and returns what the caller sends at once, or nil.
func (c *Caller) Handle(raw []byte) []byte {
	p, err := c.Wire.Parse(raw)
	if err != nil || p.BackendKey() != c.Key {
		return nil
	}
	switch {
	case p.Flags.Has(flow.RST):
		// A reset of a closed flow may have any number; of an open one, only one near by.
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
		c.Answers = append(c.Answers, string(data(&p)))
		c.sent = 0
	}
	return c.build(flow.ACK, c.seq+1, c.ack, nil)
}

func (c *Caller) build(flags flow.Flags, seq, ack uint32, data []byte) []byte {
	return c.Wire.Build(flow.Packet{Src: c.Key.Caller, Dst: c.Key.ServiceAddr, Flags: flags, Seq: seq, Ack: ack}, data)
}
