package flow

import "time"

// OpeningTimeout is how long a caller waits for an answer to an opening packet and its copies. After that
// the caller abandons the flow and may open another one.
const OpeningTimeout = 1400 * time.Millisecond

// copyDelays are the times after the first opening packet at which a caller sends its copies.
var copyDelays = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// OpeningPackets is the number of opening packets that a caller sends for one flow: the first and its copies.
const OpeningPackets = len(copyDelays)

// CopyDelay returns how long after the first opening packet of a flow a caller sends the copy with the given
// number. Numbers beyond the last copy count as the last copy.
func CopyDelay(number uint32) time.Duration {
	return copyDelays[min(int(number), len(copyDelays)-1)]
}
