package controlplane

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/service"
)

// lookupTimeout bounds one lookup at one balancer.
const lookupTimeout = 2 * time.Second

// lookupReply is the reply to a lookup of a service by name.
type lookupReply struct {
	Found bool         `msgpack:"found"`
	Spec  service.Spec `msgpack:"spec"`
}

// lookupReply returns the reply with the service of the active catalog that has the given name.
func (d *Driver) lookupReply(name string) lookupReply {
	for _, entry := range d.Catalog().All() {
		if entry.Spec.Name == name && !entry.Removed {
			return lookupReply{Found: true, Spec: entry.Spec}
		}
	}
	return lookupReply{}
}

// LookUp asks balancers, one after another, for the service with the given
// name. An agent needs it once, before it can announce its backend server. The
// error is of kind NotFound when a balancer answered that no such service
// exists, and Unavailable when no balancer answered.
func LookUp(ctx context.Context, dial func(context.Context, netip.AddrPort) (net.Conn, error),
	balancers []netip.AddrPort, name string) (service.Spec, error) {
	var failures []error
	for _, balancer := range balancers {
		reply, err := lookUpAt(ctx, dial, balancer, name)
		switch {
		case err != nil:
			failures = append(failures, err)
		case reply.Found:
			return reply.Spec, nil
		default:
			failures = append(failures, errkind.New(errkind.NotFound, "no service is named "+name,
				"create the service with a change ticket, or correct the name"))
		}
	}
	for _, err := range failures {
		if errkind.Is(err, errkind.NotFound) {
			return service.Spec{}, err
		}
	}
	return service.Spec{}, errkind.Wrap(errors.Join(failures...), errkind.Unavailable,
		"no balancer answered", "check the peers in the settings and that their TCP port equals their UDP port")
}

func lookUpAt(ctx context.Context, dial func(context.Context, netip.AddrPort) (net.Conn, error),
	balancer netip.AddrPort, name string) (lookupReply, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	conn, err := dial(ctx, balancer)
	if err != nil {
		return lookupReply{}, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if _, err := writeFrame(conn, request{Kind: requestLookup, Name: name}); err != nil {
		return lookupReply{}, err
	}
	var reply lookupReply
	err = readFrame(conn, maxReplyBytes, &reply)
	return reply, err
}
