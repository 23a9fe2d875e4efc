package caller

import (
	"errors"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// connection is one QUIC connection of a flow.
type connection struct {
	quic   *quic.Conn
	http   *http3.ClientConn
	opened time.Time

	mu       sync.Mutex // guards the fields below
	inFlight int
	agent    string
}

// lastAgent returns the agent that answered last, if known. A nil connection has none.
func (c *connection) lastAgent() string {
	if c == nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agent
}

func (c *connection) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight++
}

func (c *connection) finish(agent string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if agent != "" {
		c.agent = agent
	}
}

// isGraceful reports whether a connection ended by H3_NO_ERROR: the server
// closed it, or the client did after a GOAWAY.
func isGraceful(cause error) bool {
	app, ok := errors.AsType[*quic.ApplicationError](cause)
	return ok && app.ErrorCode == quic.ApplicationErrorCode(http3.ErrCodeNoError)
}
