// Package connid encodes the destination of a flow into QUIC connection IDs.
//
// An agent issues connection IDs that name the agent itself and its service,
// similar to QUIC-LB (draft-ietf-quic-load-balancers): one byte with the key
// version, then one AES block. Any process that has the key can route a packet
// without per-flow state. The block contains check bytes, by which connection IDs
// that no agent issued are detected.
package connid

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"net/netip"
	"sync/atomic"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/service"
)

// Len is the length of an issued connection ID in bytes.
const Len = 1 + aes.BlockSize

// MaxVersions is the number of key versions that a connection ID can encode.
const MaxVersions = 8

// KeyLen is the length of a key in bytes (AES-128).
const KeyLen = 16

const versionShift = 5

// Layout of the AES block: IPv4 address, port, service, counter, check bytes.
const (
	offsetAddr    = 0
	offsetPort    = 4
	offsetService = 6
	offsetCounter = 8
	offsetCheck   = 12
)

// Errors of Decode.
var (
	// ErrLength means that the connection ID does not have the length Len.
	ErrLength = errkind.New(errkind.Invalid, "connection ID does not have the length of an issued one", "treat the packet as the opening of a flow")
	// ErrVersion means that this process does not have the key version that the
	// connection ID names.
	ErrVersion = errkind.New(errkind.Unauthenticated, "connection ID names an unknown key version",
		"keep a packet key accepted until its last flow has ended")
	// ErrForged means that the check bytes are not zero.
	ErrForged = errkind.New(errkind.Unauthenticated, "connection ID was not issued by this system",
		"treat a long-header packet as an opening and drop a short-header packet")
)

// Target is the destination that a connection ID encodes.
type Target struct {
	// Agent is the UDP address of the agent that issued the connection ID. It must be IPv4.
	Agent netip.AddrPort
	// Service is the service of the flow.
	Service service.ID
	// Counter makes each connection ID of an agent unique.
	Counter uint32
}

// Key is one version of the connection ID key.
type Key struct {
	Version uint8
	Secret  [KeyLen]byte
}

// Codec encodes and decodes connection IDs. It is safe for concurrent use.
type Codec struct {
	keys atomic.Pointer[codecKeys]
}

// codecKeys is one immutable set of keys.
type codecKeys struct {
	current uint8
	blocks  [MaxVersions]cipher.Block
}

// NewCodec returns a codec that encodes with the first key and decodes with all keys.
func NewCodec(keys []Key) (*Codec, error) {
	codec := &Codec{}
	if err := codec.Replace(keys); err != nil {
		return nil, err
	}
	return codec, nil
}

// Replace replaces the keys. On error it changes nothing.
func (c *Codec) Replace(keys []Key) error {
	next, err := newCodecKeys(keys)
	if err != nil {
		return err
	}
	c.keys.Store(next)
	return nil
}

func newCodecKeys(keys []Key) (*codecKeys, error) {
	if len(keys) == 0 {
		return nil, errkind.New(errkind.Invalid, "no connection ID key", "list at least one packet key in the settings")
	}
	codec := &codecKeys{current: keys[0].Version}
	for _, key := range keys {
		if key.Version >= MaxVersions {
			return nil, errkind.New(errkind.Invalid, "key version is above 7", "number packet keys from 0 to 7")
		}
		if codec.blocks[key.Version] != nil {
			return nil, errkind.New(errkind.Invalid, "two keys have the same version", "give each packet key its own version")
		}
		block, err := aes.NewCipher(key.Secret[:])
		if err != nil {
			return nil, errkind.Wrap(err, errkind.Invalid, "invalid connection ID key", "use a key of 16 bytes")
		}
		codec.blocks[key.Version] = block
	}
	return codec, nil
}

// Encode returns the connection ID of target. The low five bits of random fill the
// rest of the first byte, so that a constant value there does not identify the system.
func (c *Codec) Encode(target Target, random byte) ([Len]byte, error) {
	var id [Len]byte
	addr := target.Agent.Addr().Unmap()
	if !addr.Is4() {
		return id, errkind.New(errkind.Invalid, "agent address is not IPv4", "give agents an IPv4 address")
	}
	keys := c.keys.Load()
	id[0] = keys.current<<versionShift | random&(1<<versionShift-1)
	var block [aes.BlockSize]byte
	octets := addr.As4()
	copy(block[offsetAddr:], octets[:])
	binary.BigEndian.PutUint16(block[offsetPort:], target.Agent.Port())
	binary.BigEndian.PutUint16(block[offsetService:], uint16(target.Service))
	binary.BigEndian.PutUint32(block[offsetCounter:], target.Counter)
	keys.blocks[keys.current].Encrypt(id[1:], block[:])
	return id, nil
}

// Scratch is the working memory of Decode, which lets it run without allocation.
type Scratch [aes.BlockSize]byte

// Decode returns the target of id and the version of the key that it was encoded with.
func (c *Codec) Decode(id []byte, scratch *Scratch) (Target, uint8, error) {
	if len(id) != Len {
		return Target{}, 0, ErrLength
	}
	version := id[0] >> versionShift
	block := c.keys.Load().blocks[version]
	if block == nil {
		return Target{}, version, ErrVersion
	}
	plain := scratch[:]
	block.Decrypt(plain, id[1:])
	if binary.BigEndian.Uint32(plain[offsetCheck:]) != 0 {
		return Target{}, version, ErrForged
	}
	addr := netip.AddrFrom4([4]byte(plain[offsetAddr:offsetPort]))
	return Target{
		Agent:   netip.AddrPortFrom(addr, binary.BigEndian.Uint16(plain[offsetPort:])),
		Service: service.ID(binary.BigEndian.Uint16(plain[offsetService:])),
		Counter: binary.BigEndian.Uint32(plain[offsetCounter:]),
	}, version, nil
}
