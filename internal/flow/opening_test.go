package flow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/flow"
)

func TestCopyDelay(t *testing.T) {
	is := is.New(t)
	is.Equal(flow.CopyDelay(0), time.Duration(0))
	for number := uint32(1); number < uint32(flow.OpeningPackets); number++ {
		is.True(flow.CopyDelay(number) > flow.CopyDelay(number-1))
	}
	last := flow.CopyDelay(uint32(flow.OpeningPackets - 1))
	is.True(last < flow.OpeningTimeout)
	is.Equal(flow.CopyDelay(1<<31), last) // a number that no caller sends
}
