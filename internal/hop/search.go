package hop

import (
	"encoding/binary"

	"github.com/almondledge/almondledge/internal/flow"
)

// Query asks an agent whether it has a flow.
type Query struct {
	Key flow.Key
	// Ack is the number that the caller acknowledged last. It distinguishes backend servers that
	// have answered copies of one opening packet.
	Ack uint32
	// Home is the home agent that sends the query and receives the answer.
	Home flow.Endpoint
}

// Finding is the result of a query at one agent.
type Finding uint8

// Findings.
const (
	// NotHeld means that the agent's backend server does not hold the flow.
	NotHeld Finding = iota + 1
	// Held means that the agent's backend server holds the flow.
	Held
	// Inconclusive means that the agent cannot tell: the flow may have been opened at its backend
	// server before the agent started.
	Inconclusive
)

// Answer is an agent's answer to a query.
type Answer struct {
	Key     flow.Key
	Finding Finding
}

// Sizes in bytes.
const (
	querySize  = 1 + flow.KeySize + 4 + endpointSize
	answerSize = 1 + flow.KeySize + 1
)

// AppendTo appends the encoded datagram to b.
func (q *Query) AppendTo(b []byte) []byte {
	b = append(b, byte(TypeQuery))
	b = q.Key.AppendTo(b)
	b = binary.BigEndian.AppendUint32(b, q.Ack)
	return appendEndpoint(b, q.Home)
}

// DecodeQuery reads a query.
func DecodeQuery(b []byte) (Query, error) {
	if len(b) != querySize || Type(b[0]) != TypeQuery {
		return Query{}, malformed("query")
	}
	rest := b[1+flow.KeySize:]
	return Query{Key: flow.DecodeKey(b[1:]), Ack: binary.BigEndian.Uint32(rest), Home: decodeEndpoint(rest[4:])}, nil
}

// AppendTo appends the encoded datagram to b.
func (a *Answer) AppendTo(b []byte) []byte {
	b = append(b, byte(TypeAnswer))
	b = a.Key.AppendTo(b)
	return append(b, byte(a.Finding))
}

// DecodeAnswer reads an answer.
func DecodeAnswer(b []byte) (Answer, error) {
	if len(b) != answerSize || Type(b[0]) != TypeAnswer {
		return Answer{}, malformed("answer")
	}
	a := Answer{Key: flow.DecodeKey(b[1:]), Finding: Finding(b[1+flow.KeySize])}
	if a.Finding < NotHeld || a.Finding > Inconclusive {
		return Answer{}, malformed("answer")
	}
	return a, nil
}
