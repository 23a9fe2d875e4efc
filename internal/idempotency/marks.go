package idempotency

import "time"

// mark is the state of a number. It is kept longer than the number's record.
type mark uint8

const (
	// unused numbers were never begun.
	unused mark = iota
	// used numbers were begun. Their record says whether they ran; without a record the outcome is
	// unknown.
	used
	// refused numbers were never dispatched and never will be.
	refused
)

// Layout of a block of marks.
const (
	marksPerBlock = 1024
	bitsPerMark   = 2
	marksPerWord  = 64 / bitsPerMark
)

type block struct {
	words   [marksPerBlock / marksPerWord]uint64
	touched time.Time
}

// marks holds the marks of the numbers of a table. A mark takes only two bits, so every key keeps
// its mark for its whole lifetime. A block exists only if at least one of its numbers is marked.
type marks map[uint64]*block

func (m marks) get(n uint64) mark {
	b := m[n/marksPerBlock]
	if b == nil {
		return unused
	}
	word, shift := position(n)
	return mark(b.words[word]>>shift) & 3
}

func (m marks) set(now time.Time, n uint64, to mark) {
	b := m[n/marksPerBlock]
	if b == nil {
		b = &block{}
		m[n/marksPerBlock] = b
	}
	word, shift := position(n)
	b.words[word] &^= 3 << shift
	b.words[word] |= uint64(to) << shift
	b.touched = now
}

// expire drops the blocks that were last changed before limit.
func (m marks) expire(limit time.Time) {
	for n, b := range m {
		if b.touched.Before(limit) {
			delete(m, n)
		}
	}
}

func position(n uint64) (word, shift uint64) {
	within := n % marksPerBlock
	return within / marksPerWord, within % marksPerWord * bitsPerMark
}
