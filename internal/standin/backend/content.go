package backend

import (
	"encoding/binary"
	"io"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// contentBlock is the size in bytes of the unit in which sheets are generated.
const contentBlock = 64 << 10

// Content generates a sheet, the body of a download. Its bytes depend only on its ID, so
// that a caller can verify that it received its own sheet completely. Every block
// contains its index, so that missing or swapped blocks change the checksum.
type Content struct {
	block     [contentBlock]byte
	remaining int64
	index     uint64
	unread    []byte
}

// NewContent returns the sheet of size bytes with the given ID.
func NewContent(id string, size int64) *Content {
	c := &Content{remaining: size}
	seed := xxhash.Sum64String(id)
	rng := rand.New(rand.NewPCG(seed, seed))
	for i := 0; i < contentBlock; i += 8 {
		binary.LittleEndian.PutUint64(c.block[i:], rng.Uint64())
	}
	return c
}

// Read implements io.Reader.
func (c *Content) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, io.EOF
	}
	if len(c.unread) == 0 {
		binary.LittleEndian.PutUint64(c.block[:], c.index)
		c.index++
		c.unread = c.block[:min(contentBlock, c.remaining)]
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	c.remaining -= int64(n)
	return n, nil
}

// Checksum returns the xxhash of the sheet of size bytes with the given ID.
func Checksum(id string, size int64) uint64 {
	h := xxhash.New()
	_, _ = io.Copy(h, NewContent(id, size))
	return h.Sum64()
}
