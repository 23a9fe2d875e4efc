package flowproc

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/logging"
	"github.com/almondledge/almondledge/internal/route"
	"github.com/almondledge/almondledge/internal/statesync"
)

// tableChunk is the number of members taken over while the lock is held once, so that
// callers' packets do not wait for a whole table.
const tableChunk = 500

// source is what other processes may fetch from this one.
type source struct{ *core }

// Table returns the desired state in force, or nil.
func (s source) Table() *route.Table { return s.table() }

// Members returns all that is known of the members.
func (s source) Members() []fleet.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Members()
}

// fetchMembers takes over the table of another member, because much is missing in that
// of this process.
func (c *core) fetchMembers(ctx context.Context, from netip.AddrPort) {
	begun := time.Now()
	members, err := statesync.FetchMembers(ctx, c.opt.Network.DialTCP, from)
	if err != nil {
		c.metrics.fetchErrors.Inc()
		c.log.failure("cannot fetch the members", err, fields{logging.FieldPeer: from})
		return
	}
	fresh := 0
	for chunk := range slices.Chunk(members, tableChunk) {
		fresh += c.takeTable(ctx, chunk)
	}
	c.log.event("members fetched", fields{logging.FieldPeer: from, "members": len(members), "new": fresh, "took": time.Since(begun)})
}

// takeTable takes over a part of a table, and returns the number of statements that
// were new. They get no line each: a whole table would fill the log's buffer.
func (c *core) takeTable(ctx context.Context, members []fleet.Member) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	sends, events := c.node.MergeTable(now, members)
	c.sendMembership(sends)
	fresh := 0
	for _, e := range events {
		if e.Kind == fleet.MemberChanged {
			c.memberChanged(now, e.Member)
			fresh++
		} else {
			c.handleEvent(ctx, now, e)
		}
	}
	return fresh
}
