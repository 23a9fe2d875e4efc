package hop

import (
	"encoding/binary"

	"github.com/almondledge/almondledge/internal/flow"
)

// Query asks an agent whether it has a flow.
type Query struct {
	Key flow.Key
	// Ack is the number that the caller acknowledged last. It tells apart backend
	// servers that have answered copies of one opening packet.
	Ack uint32
	// Home asks, and gets the answer.
	Home flow.Endpoint
}

// Finding is an agent's answer to a query.
type Finding uint8

// Findings.
const (
	// NotHeld: the agent's backend server does not hold the flow.
	NotHeld Finding = iota + 1
	// Held: the agent's backend server holds the flow.
	Held
	// Inconclusive: the backend server is older than the agent and may hold the flow.
	Inconclusive
)

// Answer answers a query.
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
	return Query{Key: flow.DecodeKey(b[1:]), Ack: binary.BigEndian.Uint32(rest), Home: endpoint(rest[4:])}, nil
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
