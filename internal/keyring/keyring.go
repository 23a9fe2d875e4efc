// Package keyring holds the fleet's packet keys by version.
//
// Settings carry one secret per version; separate keys for each purpose are
// derived from it with HKDF, so that no purpose can be used against another.
// The first key of the settings is current and protects what is sent; the
// others are accepted on receipt, so that keys rotate without breaking flows.
package keyring

import (
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/settings"
)

// Lengths of derived keys, in bytes.
const (
	// ConnectionIDKeyBytes is an AES-128 key: a connection ID is one AES block.
	ConnectionIDKeyBytes = 16
	// KeyBytes is the length of every other derived key.
	KeyBytes = 32
)

// versionCount is the number of versions that packets can name.
const versionCount = settings.MaxKeyVersion + 1

// removalIdle is how long a key must have been unused before it may be removed.
const removalIdle = 10 * time.Minute

// Keys are the keys that derive from one version of the packet key. The key
// fields are not changed after creation.
type Keys struct {
	// Version is the version that packets name.
	Version uint8
	// ConnectionID encrypts the block inside connection IDs.
	ConnectionID [ConnectionIDKeyBytes]byte
	// Envelope protects envelopes between balancers and agents.
	Envelope [KeyBytes]byte
	// IdempotencyKey seals the idempotency keys that agents issue.
	IdempotencyKey [KeyBytes]byte
	// StatelessReset derives QUIC stateless reset tokens.
	StatelessReset [KeyBytes]byte
	// AddressToken protects QUIC address-validation tokens.
	AddressToken [KeyBytes]byte

	secret  settings.Secret
	lastUse atomic.Int64
}

// MarkUsed notes that a received packet was protected by this version. It costs
// one atomic read unless the second has changed since the last call.
func (k *Keys) MarkUsed(now time.Time) {
	if second := now.Unix(); k.lastUse.Load() < second {
		k.lastUse.Store(second)
	}
}

// LastUse returns when MarkUsed was last called, to the second; zero is never.
func (k *Keys) LastUse() time.Time {
	second := k.lastUse.Load()
	if second == 0 {
		return time.Time{}
	}
	return time.Unix(second, 0)
}

// Ring holds the current and the accepted keys. Reads take no lock; mu orders
// calls of Replace and is taken before no other lock.
type Ring struct {
	mu    sync.Mutex
	table atomic.Pointer[table]
}

// table is one immutable state of a ring.
type table struct {
	current   *Keys
	byVersion [versionCount]*Keys
}

// New derives the keys of all versions. The list must be validated settings.
func New(keys []settings.PacketKey) (*Ring, error) {
	if len(keys) == 0 {
		return nil, errkind.New(errkind.Invalid, "no packet key", "generate keys with: almondledge settings keys")
	}
	next, err := newTable(keys, &table{})
	if err != nil {
		return nil, err
	}
	ring := &Ring{}
	ring.table.Store(next)
	return ring, nil
}

// Current returns the keys that protect what is sent.
func (r *Ring) Current() *Keys {
	return r.table.Load().current
}

// Version returns the keys of an accepted version, or nil.
func (r *Ring) Version(version uint8) *Keys {
	if int(version) >= versionCount {
		return nil
	}
	return r.table.Load().byVersion[version]
}

// Versions returns the keys of all accepted versions in ascending order.
func (r *Ring) Versions() []*Keys {
	var versions []*Keys
	for _, keys := range r.table.Load().byVersion {
		if keys != nil {
			versions = append(versions, keys)
		}
	}
	return versions
}

// Replace takes over the keys of new settings, or changes nothing and returns
// an error of kind Invalid or Conflict. It refuses steps that break flows:
//   - a version changes its secret;
//   - a version becomes current that was not accepted before, since peers may
//     not know it yet;
//   - the version that was current until now is removed;
//   - a version is removed that was used in the last ten minutes.
func (r *Ring) Replace(keys []settings.PacketKey, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.table.Load()
	if err := before.checkSuccessor(keys, now); err != nil {
		return err
	}
	next, err := newTable(keys, before)
	if err != nil {
		return err
	}
	r.table.Store(next)
	return nil
}

func (t *table) checkSuccessor(keys []settings.PacketKey, now time.Time) error {
	if len(keys) == 0 {
		return refused("packetKeys is empty", "keep the current key")
	}
	var kept [versionCount]bool
	for _, key := range keys {
		if key.Version < 0 || key.Version >= versionCount {
			return refused(fmt.Sprintf("packet key version %d", key.Version), fmt.Sprintf("use 0 to %d", settings.MaxKeyVersion))
		}
		known := t.byVersion[key.Version]
		if known != nil && subtle.ConstantTimeCompare(known.secret, key.Secret) != 1 {
			return refused(fmt.Sprintf("packet key version %d has another secret than before", key.Version), "give the new secret an unused version")
		}
		kept[key.Version] = true
	}
	if t.byVersion[keys[0].Version] == nil {
		return refused(fmt.Sprintf("packet key version %d was not accepted before it became current", keys[0].Version),
			"add it behind the current key on every process first, then move it to the front")
	}
	for version, known := range t.byVersion {
		if known == nil || kept[version] {
			continue
		}
		if err := t.checkRemoval(known, now); err != nil {
			return err
		}
	}
	return nil
}

func (t *table) checkRemoval(keys *Keys, now time.Time) error {
	if keys == t.current {
		return refused(fmt.Sprintf("packet key version %d was current until now and is removed", keys.Version),
			"keep it behind the new current key until it is no longer used")
	}
	if now.Sub(keys.LastUse()) < removalIdle {
		return errkind.New(errkind.Conflict, fmt.Sprintf("packet key version %d was used less than %v ago", keys.Version, removalIdle),
			"keep it accepted until its last flows have ended")
	}
	return nil
}

func refused(message, remedy string) error {
	return errkind.New(errkind.Invalid, message, remedy)
}

// newTable derives the keys that before does not hold already.
func newTable(keys []settings.PacketKey, before *table) (*table, error) {
	next := &table{}
	for _, key := range keys {
		derived := before.byVersion[key.Version]
		if derived == nil {
			var err error
			if derived, err = derive(key); err != nil {
				return nil, err
			}
		}
		next.byVersion[key.Version] = derived
	}
	next.current = next.byVersion[keys[0].Version]
	return next, nil
}

func derive(key settings.PacketKey) (*Keys, error) {
	keys := &Keys{Version: uint8(key.Version), secret: key.Secret}
	purposes := []struct {
		label string
		into  []byte
	}{
		{"connection id", keys.ConnectionID[:]},
		{"envelope", keys.Envelope[:]},
		{"idempotency key", keys.IdempotencyKey[:]},
		{"stateless reset", keys.StatelessReset[:]},
		{"address token", keys.AddressToken[:]},
	}
	for _, purpose := range purposes {
		derived, err := hkdf.Key(sha256.New, key.Secret, nil, "almondledge/1 "+purpose.label, len(purpose.into))
		if err != nil {
			return nil, errkind.Wrap(err, errkind.Invalid, "key derivation", "generate keys with: almondledge settings keys")
		}
		copy(purpose.into, derived)
	}
	return keys, nil
}
