package control

import (
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/service"
)

// Output is an action that a Node requests of the embedding process.
type Output interface {
	output()
}

// Datagram is a payload to send in a sealed envelope of type control.
type Datagram struct {
	To      netip.AddrPort
	Payload []byte
	Class   Class
}

// CatalogPull asks the driver to fetch the catalog delta since From from a peer
// and to pass the result to HandleCatalog.
type CatalogPull struct {
	// Peer identifies the balancer; Stream is its stream address.
	Peer, Stream netip.AddrPort
	From         int64
	// Service limits the answer to one service unless it is zero.
	Service service.ID
}

// MemberPull asks the driver to fetch buckets of the member table from a peer
// and to pass the result to HandleMembers. An empty list means all buckets.
type MemberPull struct {
	Peer, Stream netip.AddrPort
	Buckets      []uint8
}

// Notice reports a change that the embedding process may act on.
type Notice struct {
	Kind NoticeKind
	// Incarnation is this node's new incarnation, for NoticeIncarnation.
	Incarnation uint64
	// Gap is the length of the freeze, for NoticeFrozen.
	Gap time.Duration
	// Err is the cause, for NoticeStale.
	Err error
}

// NoticeKind says what a Notice reports.
type NoticeKind uint8

// Kinds of Notice.
const (
	// NoticeCatalog means that a new catalog is active.
	NoticeCatalog NoticeKind = iota + 1
	// NoticePresence means that the member table changed.
	NoticePresence
	// NoticeIncarnation means that the node raised its incarnation, because others
	// had suspected it or declared it dead, or because it was frozen.
	NoticeIncarnation
	// NoticeFrozen means that the process did not run for a while.
	NoticeFrozen
	// NoticeStale means that a configuration older than the active one was refused.
	NoticeStale
	// NoticeWatcher means that the node has become, or is no longer, a watcher of the store.
	NoticeWatcher
)

func (Datagram) output()    {}
func (CatalogPull) output() {}
func (MemberPull) output()  {}
func (Notice) output()      {}
