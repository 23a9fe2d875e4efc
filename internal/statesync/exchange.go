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
	"github.com/almondledge/almondledge/internal/route"
)

// exchangeTimeout bounds one exchange between processes, from dialing to the last byte.
const exchangeTimeout = 700 * time.Millisecond

// maxAnswerBytes bounds an answer when unpacked: twice the members of the largest
// deployment, at some hundred bytes each.
const maxAnswerBytes = 16 << 20

// request asks for a state newer than Have, or for the table of members.
type request struct {
	Have    uint64 `msgpack:"have"`
	Members bool   `msgpack:"members"`
}

// response holds the state, or a zero one when it is not newer, or the members.
type response struct {
	State   route.State    `msgpack:"state"`
	Members []fleet.Member `msgpack:"members"`
}

// Source is what a process gives to others. Its methods are called by many goroutines.
type Source interface {
	// Table returns the desired state in force, or nil.
	Table() *route.Table
	// Members returns all that is known of the members.
	Members() []fleet.Member
}

// Dial connects to a TCP address written as IP:port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Fetch asks the process at addr for a desired state newer than have. The state
// that it returns has a version of at most have when there is none. Errors are of
// kind Unavailable.
func Fetch(ctx context.Context, dial Dial, addr netip.AddrPort, have uint64) (route.State, error) {
	answer, err := ask(ctx, dial, addr, request{Have: have})
	return answer.State, err
}

// FetchMembers asks the process at addr for its table of members. Errors are of kind
// Unavailable.
func FetchMembers(ctx context.Context, dial Dial, addr netip.AddrPort) ([]fleet.Member, error) {
	answer, err := ask(ctx, dial, addr, request{Members: true})
	return answer.Members, err
}

func ask(ctx context.Context, dial Dial, addr netip.AddrPort, question request) (response, error) {
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
	if err := msgpack.NewEncoder(conn).Encode(question); err != nil {
		return response{}, unavailable(err, addr)
	}
	var answer response
	unpacked := io.LimitReader(flate.NewReader(conn), maxAnswerBytes)
	if err := msgpack.NewDecoder(unpacked).Decode(&answer); err != nil {
		return response{}, unavailable(err, addr)
	}
	return answer, nil
}

// Serve answers Fetch and FetchMembers on a listener until it is closed.
func Serve(listener net.Listener, source Source) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return // the listener was closed, which is how Serve is ended
		}
		go answer(conn, source)
	}
}

func answer(conn net.Conn, source Source) {
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(exchangeTimeout)) != nil {
		return // the connection is closed already
	}
	var asked request
	if msgpack.NewDecoder(conn).Decode(&asked) != nil {
		return // the peer sees the closed connection and asks another process
	}
	var given response
	if asked.Members {
		given.Members = source.Members()
	} else if t := source.Table(); t.Version() > asked.Have {
		given.State = t.State()
	}
	// Routes and members are much alike, and links between data centres are dear. A peer that does
	// not get the whole answer asks another process.
	compressed, err := flate.NewWriter(conn, flate.BestSpeed)
	if err == nil && msgpack.NewEncoder(compressed).Encode(given) == nil {
		_ = compressed.Close()
	}
}

func unavailable(cause error, addr netip.AddrPort) error {
	return errkind.Wrap(cause, errkind.Unavailable, "nothing can be fetched from "+addr.String(),
		"none needed while others answer; else check the network between the processes")
}
