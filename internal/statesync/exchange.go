package statesync

import (
	"compress/flate"
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/route"
)

// exchangeTimeout bounds one exchange between processes, from dialing to the last byte.
const exchangeTimeout = 700 * time.Millisecond

// request asks for a state newer than Have.
type request struct {
	Have uint64 `msgpack:"have"`
}

// response holds the state, or only its version when it is not newer.
type response struct {
	State route.State `msgpack:"state"`
}

// Dial connects to a TCP address written as IP:port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Fetch asks the process at addr for a desired state newer than have. The state
// that it returns has a version of at most have when there is none. Errors are of
// kind Unavailable.
func Fetch(ctx context.Context, dial Dial, addr netip.AddrPort, have uint64) (route.State, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	conn, err := dial(ctx, addr.String())
	if err != nil {
		return route.State{}, unavailable(err, addr)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		return route.State{}, unavailable(err, addr)
	}
	if err := msgpack.NewEncoder(conn).Encode(request{Have: have}); err != nil {
		return route.State{}, unavailable(err, addr)
	}
	var answer response
	if err := msgpack.NewDecoder(flate.NewReader(conn)).Decode(&answer); err != nil {
		return route.State{}, unavailable(err, addr)
	}
	return answer.State, nil
}

// Serve answers Fetch on a listener until it is closed. Current returns the state
// in force, or nil.
func Serve(listener net.Listener, current func() *route.Table) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // the listener was closed, which is how Serve is ended
		}
		go answer(conn, current)
	}
}

func answer(conn net.Conn, current func() *route.Table) {
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(exchangeTimeout)) != nil {
		return // the connection is closed already
	}
	var asked request
	if msgpack.NewDecoder(conn).Decode(&asked) != nil {
		return // the peer sees the closed connection and asks another process
	}
	var given response
	if t := current(); t.Version() > asked.Have {
		given.State = t.State()
	}
	// Routes are much alike, and links between data centres are dear. A peer that does
	// not get the whole answer asks another process.
	compressed, err := flate.NewWriter(conn, flate.BestSpeed)
	if err == nil && msgpack.NewEncoder(compressed).Encode(given) == nil {
		_ = compressed.Close()
	}
}

func unavailable(cause error, addr netip.AddrPort) error {
	return errkind.Wrap(cause, errkind.Unavailable, "desired state cannot be fetched from "+addr.String(),
		"none needed while others answer; else check the network between the processes")
}
