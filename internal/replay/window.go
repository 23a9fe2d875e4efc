// Package replay recognises datagrams that were received before.
package replay

// Size is the number of sequence numbers below the highest one that a Window
// remembers. Datagrams that are later than that are refused.
const Size = 2048

const wordBits = 64

// Window is a sliding window over the sequence numbers of one sender, in the
// manner of RFC 4303, section 3.4.3. The zero value has seen nothing. Sequence
// numbers start at 1.
type Window struct {
	highest uint64
	seen    [Size / wordBits]uint64
}

// Accept reports whether seq is new, and remembers it.
func (w *Window) Accept(seq uint64) bool {
	if seq == 0 {
		return false
	}
	if seq > w.highest {
		w.advance(seq)
		w.set(seq)
		return true
	}
	if w.highest-seq >= Size {
		return false
	}
	if w.has(seq) {
		return false
	}
	w.set(seq)
	return true
}

func (w *Window) advance(seq uint64) {
	if seq-w.highest >= Size {
		w.seen = [Size / wordBits]uint64{}
		w.highest = seq
		return
	}
	for n := w.highest + 1; n <= seq; n++ {
		w.clear(n)
	}
	w.highest = seq
}

func (w *Window) has(seq uint64) bool {
	return w.seen[seq%Size/wordBits]&(1<<(seq%wordBits)) != 0
}

func (w *Window) set(seq uint64) {
	w.seen[seq%Size/wordBits] |= 1 << (seq % wordBits)
}

func (w *Window) clear(seq uint64) {
	w.seen[seq%Size/wordBits] &^= 1 << (seq % wordBits)
}
