package flowproc

import (
	"context"
	"slices"
	"time"

	"github.com/almondledge/almondledge/internal/fleet"
	"github.com/almondledge/almondledge/internal/logging"
	"github.com/almondledge/almondledge/internal/route"
	"github.com/almondledge/almondledge/internal/statesync"
)

// tableChunk is the number of members merged each time the lock is held, so that callers' packets do not wait
// for a whole table.
const tableChunk = 500

// source serves the state of this process to other processes.
type source struct{ *core }

// Table returns the active desired state, or nil.
func (s source) Table() *route.Table { return s.table() }

// Members returns all member records, and the times since the deaths of the dead members among them.
func (s source) Members() ([]fleet.Member, []fleet.DeadAge) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Members(), s.node.DeadAges(time.Now())
}

// fetchMembers fetches and merges the table of another member, because many members are missing in
// the table of this process.
// The argument complete states whether that table is complete.
func (c *core) fetchMembers(ctx context.Context, from fleet.Member, complete bool) {
	begun := time.Now()
	members, deadAges, err := statesync.FetchMembers(ctx, c.opt.Network.DialTCP, from.Addr)
	if err != nil {
		c.metrics.fetchErrors.Inc()
		c.log.failure("cannot fetch the member table", err, fields{logging.FieldPeer: from.Addr})
		return
	}
	added := 0
	for chunk := range slices.Chunk(members, tableChunk) {
		added += c.mergeTable(ctx, chunk, deadAges)
	}
	c.tableMerged(ctx, from, complete)
	c.log.event("members fetched", fields{logging.FieldPeer: from.Addr, "members": len(members), "new": added, "took": time.Since(begun)})
}

// tableMerged notes that the whole table of a member was merged.
func (c *core) tableMerged(ctx context.Context, from fleet.Member, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node.TableMerged(from, complete)
	sends, events := c.node.Flush()
	c.applyMembership(ctx, time.Now(), sends, events)
}

// mergeTable merges a part of a table and returns the number of new records. New records are not logged one
// by one, since a whole table would fill the log buffer.
func (c *core) mergeTable(ctx context.Context, members []fleet.Member, deadAges []fleet.DeadAge) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	sends, events := c.node.MergeTable(now, members, deadAges)
	c.sendMembership(sends)
	added := 0
	for _, e := range events {
		if e.Kind == fleet.MemberChanged {
			c.memberChanged(now, e.Member)
			added++
		} else {
			c.handleEvent(ctx, now, e)
		}
	}
	return added
}
