package controlplane

import (
	"time"

	"github.com/almondledge/almondledge/internal/catalog"
	"github.com/almondledge/almondledge/internal/control"
	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/member"
)

// startPull runs pull in a goroutine unless the driver has stopped.
func (d *Driver) startPull(pull func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped {
		d.pulls.Go(pull)
	}
}

func (d *Driver) pullCatalog(p control.CatalogPull) {
	var delta catalog.Delta
	err := d.request(p.Stream, request{Kind: requestCatalog, From: p.From, Service: p.Service}, &delta)
	d.callNode(func(now time.Time) []control.Output { return d.node.HandleCatalog(now, p.Peer, delta, err) })
}

func (d *Driver) pullMembers(p control.MemberPull) {
	var members []member.Member
	err := d.request(p.Stream, request{Kind: requestMembers, Buckets: p.Buckets}, &members)
	d.callNode(func(now time.Time) []control.Output { return d.node.HandleMembers(now, p.Peer, members, err) })
}

// answer returns the reply to a peer's stream request.
func (d *Driver) answer(r request) (any, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch r.Kind {
	case requestLookup:
		return d.lookupReply(r.Name), nil
	case requestCatalog:
		return d.node.DeltaSince(r.From, r.Service), nil
	case requestMembers:
		return d.node.Bucket(r.Buckets...), nil
	default:
		return nil, errkind.New(errkind.Invalid, "unknown stream request", "check that all nodes run compatible versions")
	}
}
