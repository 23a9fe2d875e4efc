package statesync

import (
	"compress/flate"
	"context"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/msgshape"
	"github.com/almondledge/almondledge/internal/route"
)

// exchangeTimeout bounds one exchange between processes, from dialing to the last byte.
const exchangeTimeout = 700 * time.Millisecond

const (
	// maxRequestBytes bounds a request.
	maxRequestBytes = 128
	// maxResponseBytes bounds a decompressed response: twice the members of the largest deployment, at
	// about a hundred bytes each.
	maxResponseBytes = 16 << 20
)

// responseLimits bound the shape of a response: twice the members of the largest deployment, with the fields of each.
var responseLimits = msgshape.Limits{Depth: 8, Length: 100_000, Elements: 2_000_000}

// request asks for a state newer than version Have, or for the member table.
type request struct {
	Have    uint64 `msgpack:"have"`
	Members bool   `msgpack:"members"`
}

// response holds the requested state or the members. The state is zero if the process has no newer one.
type response struct {
	State   route.State    `msgpack:"state"`
	Members []fleet.Member `msgpack:"members"`
	// DeadAges are the times since the deaths of the dead members in Members. Earlier releases state none.
	DeadAges []fleet.DeadAge `msgpack:"dead_ages"`
}

// Source provides what a process serves to others. Its methods are called concurrently.
type Source interface {
	// Table returns the active desired state, or nil.
	Table() *route.Table
	// Members returns all member records, and the times since the deaths of the dead members among them.
	Members() ([]fleet.Member, []fleet.DeadAge)
}

// Dial connects to a TCP address written as IP:port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Fetch requests a desired state newer than have from the process at addr. If that process has no newer
// state, the returned one has a version of at most have. Errors are of kind Unavailable.
func Fetch(ctx context.Context, dial Dial, addr netip.AddrPort, have uint64) (route.State, error) {
	resp, err := exchange(ctx, dial, addr, request{Have: have})
	return resp.State, err
}

// FetchMembers requests the member table of the process at addr, with the times since the deaths of the dead members in
// it. Errors are of kind Unavailable.
func FetchMembers(ctx context.Context, dial Dial, addr netip.AddrPort) ([]fleet.Member, []fleet.DeadAge, error) {
	resp, err := exchange(ctx, dial, addr, request{Members: true})
	return resp.Members, resp.DeadAges, err
}

func exchange(ctx context.Context, dial Dial, addr netip.AddrPort, req request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := dial(ctx, addr.String())
	if err != nil {
		return response{}, unavailable(err, addr)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		return response{}, unavailable(err, addr)
	}
	if err := msgpack.NewEncoder(conn).Encode(req); err != nil {
		return response{}, unavailable(err, addr)
	}
	resp, err := readResponse(conn)
	if err != nil {
		return response{}, unavailable(err, addr)
	}
	return resp, nil
}

// readResponse reads a whole compressed response and checks its shape before it decodes it.
func readResponse(compressed io.Reader) (response, error) {
	var resp response
	message, err := io.ReadAll(io.LimitReader(flate.NewReader(compressed), maxResponseBytes))
	if err != nil {
		return resp, err
	}
	if err := msgshape.Check(message, responseLimits); err != nil {
		return resp, err
	}
	return resp, msgpack.Unmarshal(message, &resp)
}

// Serve serves Fetch and FetchMembers on a listener until it is closed.
func Serve(listener net.Listener, source Source) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // the listener was closed, which is how Serve ends
		}
		go serveConn(conn, source)
	}
}

func serveConn(conn net.Conn, source Source) {
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(exchangeTimeout)) != nil {
		return // the connection is already closed
	}
	var req request
	if msgpack.NewDecoder(io.LimitReader(conn, maxRequestBytes)).Decode(&req) != nil {
		return // the peer detects the closed connection and tries another process
	}
	var resp response
	if req.Members {
		resp.Members, resp.DeadAges = source.Members()
	} else if t := source.Table(); t.Version() > req.Have {
		resp.State = t.State()
	}
	// Compression pays off, since routes and members are repetitive and traffic between data
	// centres is expensive. A peer that does not receive the whole response tries another process.
	compressed, err := flate.NewWriter(conn, flate.BestSpeed)
	if err == nil && msgpack.NewEncoder(compressed).Encode(resp) == nil {
		_ = compressed.Close()
	}
}

func unavailable(cause error, addr netip.AddrPort) error {
	return errkind.Wrap(cause, errkind.Unavailable, "cannot fetch from "+addr.String(),
		"none needed while other processes respond; otherwise check the network between the processes")
}
