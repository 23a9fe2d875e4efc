package main

import (
	"context"
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// fabric is a stand-in for the platform's routers: it selects the front node of a packet by a hash (mod) of
// the flow over the nodes in rotation.
type fabric struct {
	mu    sync.Mutex
	nodes []*node
}

// node is one front machine as the routers see it.
type node struct {
	zone        string
	data, ready netip.AddrPort
	misses      int
	inRotation  bool
	cancel      context.CancelFunc
}

// add begins to check a front machine.
func (f *fabric) add(zone string, data, ready netip.AddrPort) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{zone: zone, data: data, ready: ready, cancel: cancel}
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	go f.check(ctx, n)
}

// remove forgets a machine that was removed for good.
func (f *fabric) remove(data netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := []*node{}
	for _, n := range f.nodes {
		if n.data == data {
			n.cancel()
			continue
		}
		kept = append(kept, n)
	}
	f.nodes = kept
}

// check calls the readiness address of a node twice per second.
func (f *fabric) check(ctx context.Context, n *node) {
	client := http.Client{Timeout: 450 * time.Millisecond}
	for ctx.Err() == nil {
		response, err := client.Get("http://" + n.ready.String() + "/v1/readiness")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		f.mu.Lock()
		if ok {
			n.misses, n.inRotation = 0, true
		} else if n.misses++; n.misses >= 2 {
			n.inRotation = false
		}
		f.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// front returns the node for a packet of a flow from a client in a zone.
func (f *fabric) front(zone string, key flowKey) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all, in, elsewhere []*node
	for _, n := range f.nodes {
		switch {
		case n.zone == zone && n.inRotation:
			in, all = append(in, n), append(all, n)
		case n.zone == zone:
			all = append(all, n)
		case n.inRotation:
			elsewhere = append(elsewhere, n)
		}
	}
	chosen := in
	switch {
	case len(in) == 0:
		chosen = elsewhere
	case 2*len(in) < len(all):
		chosen = all
	}
	if len(chosen) == 0 {
		return netip.AddrPort{}, false
	}
	h := fnv.New64a()
	h.Write([]byte(key.client.String() + key.service.String()))
	return chosen[h.Sum64()%uint64(len(chosen))].data, true
}

// count returns the number of nodes in rotation.
func (f *fabric) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, n := range f.nodes {
		if n.inRotation {
			count++
		}
	}
	return count
}
