package caller

import (
	"errors"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// connection is one QUIC connection of a flow and its HTTP/3 client.
type connection struct {
	quic   *quic.Conn
	http   *http3.ClientConn
	opened time.Time

	mu       sync.Mutex // guards the fields below
	inFlight int
	agent    string
}

// lastAgent returns the agent that answered last, if known. It returns "" for a nil connection.
func (c *connection) lastAgent() string {
	if c == nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agent
}

// begin counts a request in flight.
func (c *connection) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight++
}

// finish ends a request in flight and records the agent that answered, if known.
func (c *connection) finish(agent string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if agent != "" {
		c.agent = agent
	}
}

// isGraceful reports whether a connection ended with H3_NO_ERROR, either closed
// by the server or by the client after a GOAWAY.
func isGraceful(cause error) bool {
	app, ok := errors.AsType[*quic.ApplicationError](cause)
	return ok && app.ErrorCode == quic.ApplicationErrorCode(http3.ErrCodeNoError)
}
