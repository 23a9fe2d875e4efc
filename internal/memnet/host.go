package memnet

import "net/netip"

// maxHeld bounds the datagrams that wait at a frozen host.
const maxHeld = 512

// Host is one machine. It implements network.Network for the processes on it.
type Host struct {
	net    *Net
	addr   netip.Addr
	frozen bool
	killed bool
	held   []parcel
	pipes  []*pipe
}

func (h *Host) hold(p parcel) {
	if len(h.held) < maxHeld {
		h.held = append(h.held, p)
	}
}

// Freeze stops all traffic to and from the host; what was sent waits.
func (h *Host) Freeze() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.frozen = true
}

// Thaw lets the host's traffic go on, late.
func (h *Host) Thaw() {
	h.net.mu.Lock()
	h.frozen = false
	held := h.held
	h.held = nil
	for _, p := range held {
		if p.from.Addr() == h.addr {
			h.net.sendLocked(p)
		} else {
			h.net.arriveLocked(p)
		}
	}
	h.net.mu.Unlock()
	h.net.wakeStreams()
}

// Kill removes the host: its datagrams vanish and its streams break.
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

// Revive lets a new process start on a killed host.
func (h *Host) Revive() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.killed = false
	h.frozen = false
	h.held = nil
}

// blocked reports whether bytes cannot travel from h to peer now.
func (h *Host) blocked(peer *Host) bool {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	return h.frozen || peer.frozen || h.net.links(h.addr, peer.addr).Cut
}

// wakeStreams lets blocked streams look again.
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
