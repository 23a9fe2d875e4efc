package memnet

import "net/netip"

// maxPending bounds the datagrams that wait at a frozen host. Further datagrams are
// lost.
const maxPending = 512

// Host is one simulated host. It implements network.Network for the processes that
// run on it.
type Host struct {
	net    *Net
	addr   netip.Addr
	frozen bool
	killed bool
	// pending holds the datagrams to and from the host while it is frozen.
	pending []packet
	// pipes are the local ends of the host's open streams.
	pipes []*pipe
}

// enqueuePending stores a datagram until Thaw. Datagrams beyond maxPending are lost.
func (h *Host) enqueuePending(p packet) {
	if len(h.pending) < maxPending {
		h.pending = append(h.pending, p)
	}
}

// Freeze stops all traffic to and from the host. Datagrams and stream bytes are
// kept until Thaw.
func (h *Host) Freeze() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.frozen = true
}

// Thaw ends Freeze: traffic resumes, and the datagrams kept meanwhile are sent and
// delivered late.
func (h *Host) Thaw() {
	h.net.mu.Lock()
	h.frozen = false
	pending := h.pending
	h.pending = nil
	for _, p := range pending {
		if p.from.Addr() == h.addr {
			h.net.sendLocked(p)
		} else {
			h.net.deliverLocked(p)
		}
	}
	h.net.mu.Unlock()
	h.net.wakeStreams()
}

// Kill simulates the crash of the host: datagrams to and from it are lost, and its
// streams are reset.
func (h *Host) Kill() {
	h.net.mu.Lock()
	h.killed = true
	pipes := h.pipes
	h.pipes = nil
	h.net.mu.Unlock()
	for _, p := range pipes {
		p.reset()
	}
}

// Revive ends Kill and Freeze, so that a new process can start on the host. Datagrams
// kept by Freeze are lost.
func (h *Host) Revive() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.killed = false
	h.frozen = false
	h.pending = nil
}

// blocked reports whether the bytes of streams from h to peer are held back now.
func (h *Host) blocked(peer *Host) bool {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	return h.frozen || peer.frozen || h.net.links(h.addr, peer.addr).Cut
}

// wakeStreams makes the waiting calls of all streams check again whether they are blocked.
func (n *Net) wakeStreams() {
	n.mu.Lock()
	var pipes []*pipe
	for _, host := range n.hosts {
		pipes = append(pipes, host.pipes...)
	}
	n.mu.Unlock()
	for _, p := range pipes {
		p.wake()
	}
}
