// Package idempotency prevents requests that must not be repeated from running twice.
//
// The system issues the idempotency keys. A key is sealed and names its granter: the agent that
// issued it, with that agent's address and incarnation. Only the granter decides whether the key's
// request is dispatched, and its Ledger records the outcome, so neither a write to a store nor a
// transfer of ownership is needed. If an agent relays such a request to a peer, the executor, it
// sends the peer a Grant, and the peer's GrantLog records the outcome. The package does no I/O and
// reads no clock.
package idempotency

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/base64"
	"encoding/binary"
	"net/netip"
	"strings"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/service"
)

// KeyLifetime is how long a key is valid after it was issued.
const KeyLifetime = 24 * time.Hour

// Layout of a key: fleet key version, nonce, sealed body, tag.
const (
	versionSize = 1
	nonceSize   = 12
	tagSize     = 16
	bodySize    = 16 + 2 + 8 + 2 + 8 + 8
	keySize     = versionSize + nonceSize + bodySize + tagSize
)

// sealContext separates idempotency keys from all other data sealed under the fleet key.
const sealContext = "almondledge idempotency key"

// Errors of Open and Check.
var (
	// ErrMalformed means that the text is not a key of this system.
	ErrMalformed = errkind.New(errkind.Invalid, "the idempotency key was not issued by this system",
		"use the key of the Idempotency-Key field of an earlier answer")
	// ErrForged means that the seal of the key is invalid.
	ErrForged = errkind.New(errkind.Unauthenticated, "the seal of the idempotency key is broken",
		"use the key of the Idempotency-Key field of an earlier answer, unchanged")
	// ErrUnknownVersion means that the Keyring does not hold the fleet key that sealed the key, or
	// no longer holds it.
	ErrUnknownVersion = errkind.New(errkind.Unknown, "the idempotency key is sealed under an unknown fleet key version",
		"check whether the request ran before you send it with a fresh key")
	// ErrExpired means that the key has expired: its record may have been dropped.
	ErrExpired = errkind.New(errkind.Expired, "the idempotency key has expired",
		"check whether the request ran before you send it with a fresh key")
	// ErrOtherService means that the key was issued for another service.
	ErrOtherService = errkind.New(errkind.Invalid, "the idempotency key belongs to another service",
		"use a key that this service issued")
)

// Key is an idempotency key issued by this system.
type Key struct {
	// Granter is the agent that issued the key. Only this agent may allow the request to run.
	Granter netip.AddrPort
	// Incarnation identifies the incarnation of the granter.
	Incarnation uint64
	// Service is the service that the key is valid for.
	Service service.ID
	// Counter numbers the keys of one incarnation.
	Counter uint64
	// Issued is the time of issue, with a resolution of one millisecond.
	Issued time.Time
}

// Check returns ErrOtherService or ErrExpired if the key must not be used.
func (k Key) Check(now time.Time, id service.ID) error {
	if k.Service != id {
		return ErrOtherService
	}
	if now.Sub(k.Issued) >= KeyLifetime {
		return ErrExpired
	}
	return nil
}

// Keyring holds the fleet keys by version. Several versions may be valid at once, so that a
// rotation does not invalidate keys in use.
type Keyring struct {
	current uint8
	ciphers map[uint8]cipher.AEAD
}

// NewKeyring returns a Keyring that seals with the fleet key of version current. Fleet keys have
// 16, 24 or 32 bytes.
func NewKeyring(current uint8, keys map[uint8][]byte) (*Keyring, error) {
	ring := &Keyring{current: current, ciphers: make(map[uint8]cipher.AEAD, len(keys))}
	for version, key := range keys {
		block, err := aes.NewCipher(key)
		if err != nil {
			return nil, errkind.Wrap(err, errkind.Invalid, "bad fleet key", "use a key of 16, 24 or 32 bytes")
		}
		aead, err := cipher.NewGCM(block)
		if err != nil {
			return nil, errkind.Wrap(err, errkind.Invalid, "bad fleet key", "use a key of 16, 24 or 32 bytes")
		}
		ring.ciphers[version] = aead
	}
	if ring.ciphers[current] == nil {
		return nil, errkind.New(errkind.Invalid, "the current fleet key version has no key", "add its key or choose another version")
	}
	return ring, nil
}

// Open parses the text form of a key, with or without quotes, and verifies its seal.
func (r *Keyring) Open(text string) (Key, error) {
	text = strings.TrimSpace(text)
	if len(text) >= 2 && text[0] == '"' && text[len(text)-1] == '"' {
		text = text[1 : len(text)-1]
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) != keySize {
		return Key{}, ErrMalformed
	}
	aead := r.ciphers[raw[0]]
	if aead == nil {
		return Key{}, ErrUnknownVersion
	}
	nonce := raw[versionSize : versionSize+nonceSize]
	body, err := aead.Open(nil, nonce, raw[versionSize+nonceSize:], sealData(raw[0]))
	if err != nil {
		return Key{}, ErrForged
	}
	return decodeBody(body)
}

// Issuer issues the keys of one agent. It is not safe for concurrent use.
type Issuer struct {
	granter     netip.AddrPort
	incarnation uint64
	prefix      NoncePrefix
	counter     uint64
}

// NoncePrefix is a random value, new for each incarnation. The nonce of a seal consists of this
// prefix and 5 bytes of counter, so that two agents that seal with the same fleet key use different
// nonces.
type NoncePrefix [nonceSize - nonceCounterSize]byte

const nonceCounterSize = 5

// NewIssuer returns the Issuer of the agent at granter in its current incarnation.
func NewIssuer(granter netip.AddrPort, incarnation uint64, prefix NoncePrefix) *Issuer {
	return &Issuer{granter: granter, incarnation: incarnation, prefix: prefix}
}

// Issue returns the text form of a new key: a structured-field string.
func (i *Issuer) Issue(now time.Time, ring *Keyring, id service.ID) string {
	i.counter++
	key := Key{Granter: i.granter, Incarnation: i.incarnation, Service: id, Counter: i.counter, Issued: now}
	raw := make([]byte, 0, keySize)
	raw = append(raw, ring.current)
	raw = append(raw, i.prefix[:]...)
	raw = append(raw, byte(i.counter>>32), byte(i.counter>>24), byte(i.counter>>16), byte(i.counter>>8), byte(i.counter))
	nonce := raw[versionSize : versionSize+nonceSize]
	raw = ring.ciphers[ring.current].Seal(raw, nonce, encodeBody(key), sealData(ring.current))
	return `"` + base64.RawURLEncoding.EncodeToString(raw) + `"`
}

func sealData(version uint8) []byte {
	return append([]byte(sealContext), version)
}

func encodeBody(k Key) []byte {
	body := make([]byte, 0, bodySize)
	addr := k.Granter.Addr().As16()
	body = append(body, addr[:]...)
	body = binary.BigEndian.AppendUint16(body, k.Granter.Port())
	body = binary.BigEndian.AppendUint64(body, k.Incarnation)
	body = binary.BigEndian.AppendUint16(body, uint16(k.Service))
	body = binary.BigEndian.AppendUint64(body, k.Counter)
	return binary.BigEndian.AppendUint64(body, uint64(k.Issued.UnixMilli()))
}

func decodeBody(body []byte) (Key, error) {
	if len(body) != bodySize {
		return Key{}, ErrMalformed
	}
	addr := netip.AddrFrom16([16]byte(body[:16])).Unmap()
	millis := int64(binary.BigEndian.Uint64(body[36:]))
	return Key{
		Granter:     netip.AddrPortFrom(addr, binary.BigEndian.Uint16(body[16:])),
		Incarnation: binary.BigEndian.Uint64(body[18:]),
		Service:     service.ID(binary.BigEndian.Uint16(body[26:])),
		Counter:     binary.BigEndian.Uint64(body[28:]),
		Issued:      time.UnixMilli(millis),
	}, nil
}
