package control

import (
	"net/netip"
	"time"

	"github.com/almondledge/almondledge/internal/service"
)

// Output is something that a Node wants done.
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
// and to hand the result to HandleCatalog.
type CatalogPull struct {
	// Peer identifies the balancer; Stream is its stream address.
	Peer, Stream netip.AddrPort
	From         int64
	// Service limits the answer to one service unless zero.
	Service service.ID
}

// MemberPull asks the driver to fetch buckets of the member table from a peer
// and to hand the result to HandleMembers. No bucket at all means all of them.
type MemberPull struct {
	Peer, Stream netip.AddrPort
	Buckets      []uint8
}

// Notice reports a change that the embedding process may act on.
type Notice struct {
	Kind NoticeKind
	// Incarnation is the new own incarnation of NoticeIncarnation.
	Incarnation uint64
	// Gap is the length of the freeze of NoticeFrozen.
	Gap time.Duration
	// Err is the cause of NoticeStale.
	Err error
}

// NoticeKind says what a Notice reports.
type NoticeKind uint8

// Kinds of Notice.
const (
	// NoticeCatalog means that a new catalog is in force.
	NoticeCatalog NoticeKind = iota + 1
	// NoticePresence means that the member table changed.
	NoticePresence
	// NoticeIncarnation means that the node had to choose a higher incarnation,
	// because others had suspected it or declared it dead.
	NoticeIncarnation
	// NoticeFrozen means that the process did not run for a while.
	NoticeFrozen
	// NoticeStale means that a configuration older than the one in force was refused.
	NoticeStale
	// NoticeWatcher means that the node has become, or is no longer, a watcher of the store.
	NoticeWatcher
)

func (Datagram) output()    {}
func (CatalogPull) output() {}
func (MemberPull) output()  {}
func (Notice) output()      {}
