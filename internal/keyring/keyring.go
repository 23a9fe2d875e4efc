// Package keyring holds the fleet's packet keys by version.
//
// Settings carry one secret per version. HKDF derives a separate key for each
// purpose from it, so that data protected for one purpose is not valid for
// another. The first key of the settings is current and protects sent packets;
// the others are accepted on receipt, so that keys rotate without breaking flows.
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
	// ConnectionIDKeyBytes is the length of an AES-128 key: a connection ID is one AES block.
	ConnectionIDKeyBytes = 16
	// KeyBytes is the length of every other derived key.
	KeyBytes = 32
)

// versionCount is the number of versions that packets can name.
const versionCount = settings.MaxKeyVersion + 1

// minIdleBeforeRemoval is how long a key must have been unused before Replace
// accepts settings without it.
const minIdleBeforeRemoval = 10 * time.Minute

// Keys holds the keys derived from one version of the packet key. The key
// fields do not change after creation.
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

// MarkUsed records that a received packet was protected by this version. It writes at
// most once per second; other calls only read atomically.
func (k *Keys) MarkUsed(now time.Time) {
	if second := now.Unix(); k.lastUse.Load() < second {
		k.lastUse.Store(second)
	}
}

// LastUse returns the latest time passed to MarkUsed, to the second, or the zero
// time if the version was never used.
func (k *Keys) LastUse() time.Time {
	second := k.lastUse.Load()
	if second == 0 {
		return time.Time{}
	}
	return time.Unix(second, 0)
}

// Ring holds the current and the accepted keys. It is safe for concurrent use.
// Reads take no lock. mu serializes calls of Replace, which takes no other lock
// while it holds mu.
type Ring struct {
	mu    sync.Mutex
	table atomic.Pointer[table]
}

// table is an immutable snapshot of a ring.
type table struct {
	current   *Keys
	byVersion [versionCount]*Keys
}

// New derives the keys of all versions. The settings must have been validated;
// the first key is current.
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

// Current returns the keys that protect sent packets.
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

// Replace applies the keys of new settings, or changes nothing and returns an
// error of kind Invalid or Conflict. It refuses changes that break flows:
//   - the secret of a version changes;
//   - a version that was not accepted before becomes current, although peers may
//     not have it yet;
//   - the version that is current before the call is removed;
//   - a version that was used in the last ten minutes is removed.
func (r *Ring) Replace(keys []settings.PacketKey, now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.table.Load()
	if err := before.checkReplacement(keys, now); err != nil {
		return err
	}
	next, err := newTable(keys, before)
	if err != nil {
		return err
	}
	r.table.Store(next)
	return nil
}

// checkReplacement returns an error if replacing t by keys would break flows.
func (t *table) checkReplacement(keys []settings.PacketKey, now time.Time) error {
	if len(keys) == 0 {
		return invalid("packetKeys is empty", "keep the current key")
	}
	var kept [versionCount]bool
	for _, key := range keys {
		if key.Version < 0 || key.Version >= versionCount {
			return invalid(fmt.Sprintf("packet key version %d is out of range", key.Version), fmt.Sprintf("use 0 to %d", settings.MaxKeyVersion))
		}
		known := t.byVersion[key.Version]
		if known != nil && subtle.ConstantTimeCompare(known.secret, key.Secret) != 1 {
			return invalid(fmt.Sprintf("the secret of packet key version %d was changed", key.Version), "give the new secret an unused version")
		}
		kept[key.Version] = true
	}
	if t.byVersion[keys[0].Version] == nil {
		return invalid(fmt.Sprintf("packet key version %d became current without having been accepted before", keys[0].Version),
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

// checkRemoval returns an error if removing keys from t would break flows.
func (t *table) checkRemoval(keys *Keys, now time.Time) error {
	if keys == t.current {
		return invalid(fmt.Sprintf("packet key version %d was removed while it was the current key", keys.Version),
			"keep it behind the new current key until it is no longer used")
	}
	if now.Sub(keys.LastUse()) < minIdleBeforeRemoval {
		return errkind.New(errkind.Conflict, fmt.Sprintf("packet key version %d was removed but was used less than %v ago", keys.Version, minIdleBeforeRemoval),
			"keep it accepted until its last flows have ended")
	}
	return nil
}

func invalid(message, remedy string) error {
	return errkind.New(errkind.Invalid, message, remedy)
}

// newTable returns the table of keys. It reuses the versions that the table before
// already holds, with the time of their last use, and derives the other versions.
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

// derive derives the keys of all purposes. The labels must not change: all
// processes of a fleet must derive the same keys.
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
			return nil, errkind.Wrap(err, errkind.Invalid, "cannot derive packet keys", "generate keys with: almondledge settings keys")
		}
		copy(purpose.into, derived)
	}
	return keys, nil
}
