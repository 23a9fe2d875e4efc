// Package packetkeys derives from the fleet's packet keys what the packet path
// uses: a connection ID codec, a sealer and an opener of envelopes, the seed of
// flow hashes, and the keyring of idempotency keys. A key rotation replaces all of
// them in one call, while packets are being processed.
package packetkeys

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/almondledge/almondledge/internal/connid"
	"github.com/almondledge/almondledge/internal/envelope"
	"github.com/almondledge/almondledge/internal/idempotency"
	"github.com/almondledge/almondledge/internal/keyring"
	"github.com/almondledge/almondledge/internal/settings"
)

// flowSeedLabel is hashed with a key to derive the flow seed. All balancers of a
// fleet must use the same label.
const flowSeedLabel = "almondledge flow hash seed"

// Set holds the key material of one process. It is safe for concurrent use.
type Set struct {
	// Codec encodes and decodes connection IDs.
	Codec *connid.Codec
	// Sealer and Opener protect envelopes.
	Sealer *envelope.Sealer
	Opener *envelope.Opener

	ring        *keyring.Ring
	flowSeed    atomic.Uint64
	idempotency atomic.Pointer[idempotency.Keyring]
}

// New derives the key material from validated settings.
func New(keys []settings.PacketKey) (*Set, error) {
	ring, err := keyring.New(keys)
	if err != nil {
		return nil, err
	}
	set := &Set{ring: ring}
	if set.Codec, err = connid.NewCodec(connectionIDKeys(ring)); err != nil {
		return nil, err
	}
	if set.Sealer, err = envelope.NewSealer(envelopeKeys(ring)[0], randomSender()); err != nil {
		return nil, err
	}
	if set.Opener, err = envelope.NewOpener(envelopeKeys(ring)); err != nil {
		return nil, err
	}
	return set, set.updateDerived()
}

// Replace applies the keys of new settings. If the change would break flows, as
// keyring.Ring.Replace defines it, Replace returns an error and changes nothing.
func (s *Set) Replace(keys []settings.PacketKey, now time.Time) error {
	if err := s.ring.Replace(keys, now); err != nil {
		return err
	}
	if err := s.Opener.Replace(envelopeKeys(s.ring)); err != nil {
		return err
	}
	if err := s.Codec.Replace(connectionIDKeys(s.ring)); err != nil {
		return err
	}
	if err := s.Sealer.Replace(envelopeKeys(s.ring)[0]); err != nil {
		return err
	}
	return s.updateDerived()
}

// MarkUsed records that a flow uses a connection ID that was issued under a key
// version. It ignores versions that are not accepted.
func (s *Set) MarkUsed(version uint8, now time.Time) {
	if keys := s.ring.Version(version); keys != nil {
		keys.MarkUsed(now)
	}
}

// FlowSeed returns the fleet's secret seed of flow hashes, which is derived from
// the current key. While a rotation spreads, two balancers may therefore rank the
// agents of an opening flow differently; the agents then forward the packets of the
// flow to one of them.
func (s *Set) FlowSeed() uint64 {
	return s.flowSeed.Load()
}

// Register adds the metrics of the key versions to set.
func (s *Set) Register(set *metrics.Set) {
	s.ring.Register(set)
}

// Idempotency returns the keyring that seals idempotency keys.
func (s *Set) Idempotency() *idempotency.Keyring {
	return s.idempotency.Load()
}

// StatelessReset returns the key that derives QUIC stateless reset tokens. Agents
// read it once, at the start. It is taken from the lowest accepted version, so that
// agents that start while a higher version is being added have the same key as the
// others.
func (s *Set) StatelessReset() [keyring.KeyBytes]byte {
	return s.ring.Versions()[0].StatelessReset
}

// AddressToken returns the key of QUIC address-validation tokens. Agents read it once,
// at the start, and it is taken from the same version as StatelessReset.
func (s *Set) AddressToken() [keyring.KeyBytes]byte {
	return s.ring.Versions()[0].AddressToken
}

// updateDerived recomputes the flow seed and the idempotency keyring from the ring.
func (s *Set) updateDerived() error {
	s.flowSeed.Store(flowSeed(s.ring.Current()))
	secrets := make(map[uint8][]byte)
	for _, keys := range s.ring.Versions() {
		secrets[keys.Version] = keys.IdempotencyKey[:]
	}
	ring, err := idempotency.NewKeyring(s.ring.Current().Version, secrets)
	if err != nil {
		return err
	}
	s.idempotency.Store(ring)
	return nil
}

// connectionIDKeys returns the accepted connection ID keys, the current one first.
func connectionIDKeys(ring *keyring.Ring) []connid.Key {
	current := ring.Current()
	list := []connid.Key{{Version: current.Version, Secret: current.ConnectionID}}
	for _, keys := range ring.Versions() {
		if keys.Version != current.Version {
			list = append(list, connid.Key{Version: keys.Version, Secret: keys.ConnectionID})
		}
	}
	return list
}

// envelopeKeys returns the accepted envelope keys, the current one first.
func envelopeKeys(ring *keyring.Ring) []envelope.Key {
	current := ring.Current()
	list := []envelope.Key{{Version: current.Version, Secret: current.Envelope}}
	for _, keys := range ring.Versions() {
		if keys.Version != current.Version {
			list = append(list, envelope.Key{Version: keys.Version, Secret: keys.Envelope})
		}
	}
	return list
}

func flowSeed(keys *keyring.Keys) uint64 {
	sum := sha256.Sum256(append([]byte(flowSeedLabel), keys.AddressToken[:]...))
	return binary.BigEndian.Uint64(sum[:])
}

// randomSender returns the number that identifies this process in the envelopes it seals.
func randomSender() uint64 {
	var data [8]byte
	_, _ = rand.Read(data[:]) // rand.Read never fails
	return binary.BigEndian.Uint64(data[:])
}
