// Package replay detects datagrams that were received before.
package replay

// Size is the number of sequence numbers that a Window covers: the highest received
// number and the numbers directly below it. Lower sequence numbers are rejected.
const Size = 2048

const wordBits = 64

// Window is a sliding window over the sequence numbers of one sender, as in
// RFC 4303, section 3.4.3. The zero value is an empty window. Sequence numbers start
// at 1.
type Window struct {
	highest uint64
	seen    [Size / wordBits]uint64
}

// Accept reports whether seq is new and in or above the window, and marks it as
// received.
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

// advance moves the upper end of the window to seq.
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
