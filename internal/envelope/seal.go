package envelope

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"sync/atomic"

	"github.com/almondledge/almondledge/internal/errkind"
)

// KeyLen is the length of an envelope key in bytes.
const KeyLen = 32

// MaxVersions is the number of key versions.
const MaxVersions = 8

const (
	senderKeyLen   = 16
	nonceLen       = 12
	sequenceOffset = 12
	senderOffset   = 4
	versionOffset  = 2
	senderInfo     = "almondledge envelope sender"
)

// Errors of Open, besides ErrMalformed.
var (
	// ErrKey means that this process does not have the key version that the datagram names.
	ErrKey = errkind.New(errkind.Unauthenticated, "envelope names an unknown key version",
		"give all processes the same packet keys before making a new one current")
	// ErrTag means that the datagram was forged, damaged or sealed under another key.
	ErrTag = errkind.New(errkind.Unauthenticated, "envelope fails authentication",
		"check that both processes have the same packet key of this version")
	// ErrReplayed means that the datagram was received before or is below the replay
	// window.
	ErrReplayed = errkind.New(errkind.Stale, "envelope was received before", "none; the datagram is dropped and counted")
)

// Key is one version of the fleet's envelope key.
type Key struct {
	Version uint8
	Secret  [KeyLen]byte
}

// senderAEAD returns the authenticator of one sender. The key is derived per sender,
// so that sequence numbers can serve as nonces.
func senderAEAD(secret []byte, sender uint64) (cipher.AEAD, error) {
	salt := binary.BigEndian.AppendUint64(nil, sender)
	key, err := hkdf.Key(sha256.New, secret, salt, senderInfo, senderKeyLen)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}

// Sealer encodes and authenticates the envelopes of one process. It is safe for
// concurrent use.
type Sealer struct {
	sender   uint64
	sequence atomic.Uint64
	key      atomic.Pointer[sealerKey]
}

// sealerKey is the current key of a sealer.
type sealerKey struct {
	version uint8
	aead    cipher.AEAD
}

// NewSealer returns a sealer that uses key. The sender number must differ between
// all processes and between restarts of a process, because nonces would repeat
// otherwise; use a random one.
func NewSealer(key Key, sender uint64) (*Sealer, error) {
	sealer := &Sealer{sender: sender}
	if err := sealer.Replace(key); err != nil {
		return nil, err
	}
	return sealer, nil
}

// Replace replaces the key. On error it changes nothing.
func (s *Sealer) Replace(key Key) error {
	aead, err := senderAEAD(key.Secret[:], s.sender)
	if err != nil {
		return errkind.Wrap(err, errkind.Invalid, "invalid envelope key", "use a key of 32 bytes")
	}
	s.key.Store(&sealerKey{version: key.Version, aead: aead})
	return nil
}

// Seal returns the sealed datagram of e. It overwrites dst, to reuse its capacity.
func (s *Sealer) Seal(dst []byte, e *Envelope) []byte {
	sequence := s.sequence.Add(1)
	key := s.key.Load()
	dst = e.appendTo(dst[:0], key.version, s.sender, sequence)
	// The nonce is built behind the message in dst, so that it does not escape to the heap.
	end := len(dst)
	dst = append(dst, 0, 0, 0, 0)
	dst = binary.BigEndian.AppendUint64(dst, sequence)
	nonce := dst[end : end+nonceLen]
	var tag [tagLen]byte
	sealed := key.aead.Seal(tag[:0], nonce, nil, dst[:end])
	return append(dst[:end], sealed...)
}

// CandidateBuffer is the memory for the candidates of one opened envelope.
type CandidateBuffer [MaxCandidates]netip.AddrPort
