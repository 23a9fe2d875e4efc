package faultmatrix

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/almondledge/almondledge/internal/lab/caller"
	"github.com/almondledge/almondledge/internal/service"
	"github.com/almondledge/almondledge/internal/settings"
	"github.com/almondledge/almondledge/internal/standin/backend"
)

// step is a state of requests, processes or tickets in which faults are injected.
type step struct {
	name string
	// run establishes the state, injects the faults and completes the step. It returns
	// the target.
	run func(c *cell) int
}

// steps lists the steps of the matrix. Their order determines the seeds and targets of
// the tests.
var steps = []step{
	{"opening", func(c *cell) int {
		c.inject(0)
		c.sheet(c.open(), "tide")
		return 0
	}},
	{"idle", func(c *cell) int {
		flow, target := c.openOnTarget()
		c.inject(target)
		time.Sleep(2 * time.Second)
		c.sheet(flow, "wave")
		time.Sleep(faultSpan)
		c.sheet(flow, "after")
		return target
	}},
	{"queued", func(c *cell) int {
		flow, target := c.openOnTarget()
		wait := c.startAll(
			func() { c.slowSheet(flow, "slot-1", 3*time.Second) },
			func() { c.slowSheet(flow, "slot-2", 3*time.Second) },
		)
		time.Sleep(200 * time.Millisecond)
		queued := c.startAll(func() { c.book(flow, "queued", 500*time.Millisecond) })
		time.Sleep(200 * time.Millisecond)
		c.inject(target)
		wait()
		queued()
		return target
	}},
	{"dispatched", func(c *cell) int {
		flow, target := c.openOnTarget()
		wait := c.startAll(func() { c.book(flow, "dispatched", 2*time.Second) })
		time.Sleep(500 * time.Millisecond)
		c.inject(target)
		wait()
		return target
	}},
	{"repeated", func(c *cell) int {
		flow, target := c.openOnTarget()
		key := c.issueKey(flow)
		var calls []func()
		for range 3 {
			other := c.open()
			calls = append(calls, func() { c.bookWithKey(other, "repeated", key) })
		}
		wait := c.startAll(calls...)
		time.Sleep(300 * time.Millisecond)
		c.inject(target)
		wait()
		time.Sleep(5 * time.Second)
		c.bookWithKey(c.open(), "repeated", key)
		return target
	}},
	{"body half sent", func(c *cell) int {
		flow, target := c.openOnTarget()
		wait := c.startAll(func() { c.upload(flow, "sheet") })
		time.Sleep(45 * time.Millisecond)
		c.inject(target)
		wait()
		return target
	}},
	{"answer half sent", func(c *cell) int {
		flow, target := c.openOnTarget()
		wait := c.startAll(func() { c.feed(flow, "stock", 20) })
		time.Sleep(time.Second)
		c.inject(target)
		wait()
		return target
	}},
	{"relayed", func(c *cell) int {
		flow, target := c.openOnTarget()
		c.change("drain", func(spec *service.Spec) { spec.Draining = []netip.AddrPort{agentAddr(target)} })
		time.Sleep(2 * time.Second)
		wait := c.startAll(
			func() { c.book(flow, "relayed", 2*time.Second) },
			func() { c.slowSheet(flow, "relayed sheet", 2*time.Second) },
		)
		time.Sleep(500 * time.Millisecond)
		c.inject(target)
		wait()
		return target
	}},
	{"retried", func(c *cell) int {
		flow, target := c.openOnTarget()
		c.must(c.backends[target].SetKnobs(backend.Knobs{ShedShare: 1}))
		c.after(faultSpan, func() { c.must(c.backends[target].SetKnobs(backend.Knobs{})) })
		c.sheetMayFail(flow, "retried")
		c.inject(target)
		c.sheetMayFail(flow, "retried again")
		return target
	}},
	{"drain begun", func(c *cell) int {
		flow, target := c.openOnTarget()
		wait := c.startAll(
			func() { c.feed(flow, "long", 20) },
			func() { c.book(flow, "in flight", 2*time.Second) },
		)
		time.Sleep(500 * time.Millisecond)
		c.agentProcesses[target].drain()
		time.Sleep(100 * time.Millisecond)
		c.inject(target)
		wait()
		c.sheet(c.open(), "elsewhere")
		return target
	}},
	{"drain ending", func(c *cell) int {
		flow, target := c.openOnTarget()
		wait := c.startAll(func() { c.feed(flow, "last", 15) })
		time.Sleep(100 * time.Millisecond)
		c.agentProcesses[target].drain()
		time.Sleep(2500 * time.Millisecond)
		c.inject(target)
		wait()
		return target
	}},
	{"ticket written", func(c *cell) int {
		flow, target := c.openOnTarget()
		wait := c.startAll(func() {
			c.change("written", func(spec *service.Spec) { spec.Limits.QueueLength = 25 })
		})
		c.inject(target)
		c.sheet(flow, "during")
		wait()
		return target
	}},
	{"ticket spreading", func(c *cell) int {
		flow, target := c.openOnTarget()
		c.change("spreading", func(spec *service.Spec) { spec.Limits.QueueLength = 26 })
		c.inject(target)
		c.sheet(flow, "during")
		return target
	}},
	{"join", func(c *cell) int {
		flow, target := c.openOnTarget()
		c.startBalancer(len(c.balancerProcesses))
		c.sprayTo(balancerCount)
		c.inject(target)
		c.sheet(flow, "during")
		return target
	}},
	{"leave", func(c *cell) int {
		flow, target := c.openOnTarget()
		c.leaveBalancer(0)
		time.Sleep(100 * time.Millisecond)
		c.inject(target)
		c.sheet(flow, "during")
		return target
	}},
	{"key rotation", func(c *cell) int {
		flow, target := c.openOnTarget()
		old := c.issuer.PacketKeys()[0]
		next := settings.PacketKey{Version: 1, Secret: []byte("0123456789abcdef0123456789abcdef")}
		c.rotate(old, next)
		c.inject(target)
		c.sheet(flow, "accepted")
		c.rotate(next, old)
		c.sheet(flow, "under the old key")
		c.sheet(c.open(), "under the new key")
		return target
	}},
}

// rotate changes the packet keys of every process, one process after the other.
func (c *cell) rotate(keys ...settings.PacketKey) {
	c.issuer.SetPacketKeys(keys)
	for i := range c.settings.agents {
		c.settings.agents[i].PacketKeys = keys
		c.must(c.agents[i].Reload(c.settings.agents[i]))
		time.Sleep(20 * time.Millisecond)
	}
	for i := range c.settings.balancers {
		c.settings.balancers[i].PacketKeys = keys
		c.must(c.balancers[i].Reload(c.settings.balancers[i]))
		time.Sleep(20 * time.Millisecond)
	}
}

// startAll starts calls concurrently and returns a function that waits for them.
func (c *cell) startAll(calls ...func()) func() {
	var group sync.WaitGroup
	for _, call := range calls {
		group.Go(call)
	}
	return group.Wait
}

// open opens a flow to the booking service.
func (c *cell) open() *caller.Flow { return c.flow(bookingAddr) }

// maxOpened bounds the flows that openOnTarget opens.
const maxOpened = 60

// openOnTarget opens flows until one reaches the cell's target, and returns that
// flow. Which agent a flow reaches is random, since QUIC clients choose random
// connection IDs.
func (c *cell) openOnTarget() (*caller.Flow, int) {
	for range maxOpened {
		flow := c.open()
		answer := c.sheet(flow, "first")
		if agentOf(answer.Server) == c.target {
			return flow, c.target
		}
		flow.Close()
	}
	c.t.Fatalf("no flow of %d reached agent %d", maxOpened, c.target)
	return nil, 0
}

// agentOf returns the index of the agent of a backend server.
func agentOf(server string) int {
	_, number, _ := strings.Cut(server, "/")
	agent, err := strconv.Atoi(number)
	if err != nil {
		panic(fmt.Sprintf("answer without a backend server: %q", server))
	}
	return agent
}
