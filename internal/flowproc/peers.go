package flowproc

import (
	"context"
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/hop"
	"github.com/almondledge/almondledge/internal/logging"
)

// readPeers reads datagrams of other members until ctx ends.
func (c *core) readPeers(ctx context.Context) error {
	reader := c.peer.NewReader()
	for {
		count, err := reader.Read()
		if err != nil {
			return readError(ctx, err, "cannot read from the socket between processes")
		}
		c.mu.Lock()
		now := time.Now()
		for i := range count {
			c.handleDatagram(ctx, now, reader.From(i), reader.Datagram(i))
		}
		c.mu.Unlock()
	}
}

// readError returns an error for a failed read of a socket, or nil if the process is ending.
func readError(ctx context.Context, cause error, message string) error {
	if ctx.Err() == nil {
		return errkind.Wrap(cause, errkind.Unavailable, message, "check that the address belongs to this instance")
	}
	return nil
}

// handleDatagram processes a membership message, or passes a datagram of any other type to the role.
func (c *core) handleDatagram(ctx context.Context, now time.Time, from netip.AddrPort, datagram []byte) {
	if len(datagram) == 0 {
		c.metrics.badDatagrams.Inc()
		return
	}
	if hop.Type(datagram[0]) != hop.TypeMembership {
		c.role.handlePeer(now, from, datagram)
		return
	}
	sends, events, err := c.node.Handle(now, from, datagram[1:])
	if err != nil {
		c.metrics.badDatagrams.Inc()
		return
	}
	c.applyMembership(ctx, now, sends, events)
}

// applyMembership sends the datagrams and handles the events of the membership protocol.
func (c *core) applyMembership(ctx context.Context, now time.Time, sends []fleet.Send, events []fleet.Event) {
	c.sendMembership(sends)
	for _, e := range events {
		c.handleEvent(ctx, now, e)
	}
	c.directory.SetView(c.node.Complete() != fleet.NoEvidence, c.node.HeardComplete())
}

// handleEvent handles one event of the membership protocol.
func (c *core) handleEvent(ctx context.Context, now time.Time, e fleet.Event) {
	switch e.Kind {
	case fleet.MemberChanged:
		c.log.member(e.Member)
		c.memberChanged(now, e.Member)
	case fleet.SelfChanged:
		c.memberChanged(now, e.Member)
	case fleet.MemberForgotten:
		c.directory.Forget(e.Member.Addr)
	case fleet.Frozen:
		c.log.event("process was frozen", fields{"gap": e.Gap})
	case fleet.Refuted:
		c.log.event("refuted an outdated or false record of this process", fields{"incarnation": e.Member.Incarnation, "held": e.Member.Liveness})
	case fleet.LoadReported:
		c.directory.RecordLoad(e.Member.Addr, e.Load.Flows, e.Load.Active)
	case fleet.FellBehind:
		go c.fetchMembers(ctx, e.Member, e.Complete)
	case fleet.TableCompleted:
		c.log.event("view of the members is complete", fields{
			"evidence": e.Evidence, logging.FieldPeer: e.Member.Addr, "members": c.node.Len(), "since_start": now.Sub(c.started),
		})
	case fleet.VersionReported:
		c.follower.PeerReported(now, e.Version, e.Age)
		if e.Version > c.follower.Table().Version() && !now.Before(c.fetchPendingUntil) {
			c.fetchPendingUntil = now.Add(fetchRetryDelay)
			go c.fetchState(ctx, e.Member.Addr)
		}
	}
}

// memberChanged applies a new member record.
func (c *core) memberChanged(now time.Time, m fleet.Member) {
	c.directory.Apply(now, m)
	if m.Role == fleet.Balancer {
		c.updateBalancerOrder(m.Addr, m.Liveness == fleet.Alive)
	}
	c.follower.SetRank(c.rank(), c.node.Len())
}

// sendMembership sends membership messages, prefixed with their datagram type.
func (c *core) sendMembership(sends []fleet.Send) {
	for _, s := range sends {
		datagram := make([]byte, 0, len(s.Payload)+1)
		datagram = append(datagram, byte(hop.TypeMembership))
		c.send(s.To, append(datagram, s.Payload...))
	}
}

// send writes one datagram to another member. A failure is only counted, because retransmissions of the flow
// or later messages make up for a lost datagram.
func (c *core) send(to netip.AddrPort, datagram []byte) {
	c.metrics.peerBytes[datagram[0]].Add(len(datagram))
	if err := c.peer.WriteTo(datagram, to); err != nil {
		c.metrics.sendErrors.Inc()
	}
}

// leave announces to the other members that this process is about to end.
func (c *core) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
	sends, _ := c.node.Leave(time.Now())
	c.sendMembership(sends)
}

// SetSeeds replaces the members to contact first.
func (c *core) SetSeeds(seeds []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node.SetSeeds(seeds)
}

// logConnectivity logs the first contact with other members, and later the loss and the return of their
// messages.
func (c *core) logConnectivity(now time.Time) {
	if joined := c.node.Joined(); joined != c.joined {
		c.joined = joined
		c.log.event("met other members", fields{"members": c.node.Len(), "since_start": now.Sub(c.started)})
	}
	isolated := c.node.Isolated(now)
	if isolated == c.isolated {
		return
	}
	c.isolated = isolated
	if isolated {
		c.log.event("lost all other members; no messages are received", fields{"members": c.node.Len()})
		return
	}
	c.log.event("other members are heard again", fields{"members": c.node.Len()})
}
