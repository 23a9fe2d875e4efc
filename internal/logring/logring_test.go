package logring_test

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/logring"
)

// stalled is an output that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	return s.text.Write(p)
}

func TestAStalledOutputHoldsUpNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stalled{release: make(chan struct{})}
		ring := logring.New(out)
		begun := time.Now()
		for i := range 10_000 {
			_, err := fmt.Fprintf(ring, "line %d\n", i)
			is.NoErr(err)
		}
		is.Equal(time.Since(begun), time.Duration(0)) // on the fake clock: nothing has waited
		is.True(ring.Dropped() > 5000)
		is.True(!ring.HasRoom())
		close(out.release)
		ring.Close(time.Second)
		is.True(bytes.Contains(out.text.Bytes(), []byte("line 0\n")))
		is.True(bytes.Contains(out.text.Bytes(), []byte("log lines dropped")))
	})
}

// A goroutine that ends last may still log while the process exits.
func TestLinesAfterCloseAreLost(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	ring := logring.New(&out)
	_, err := ring.Write([]byte("before\n"))
	is.NoErr(err)
	ring.Close(time.Second)
	_, err = ring.Write([]byte("after\n"))
	is.NoErr(err)
	is.Equal(out.String(), "before\n")
}

func TestCloseDoesNotWaitForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stalled{release: make(chan struct{})}
		ring := logring.New(out)
		_, err := ring.Write([]byte("line\n"))
		is.NoErr(err)
		begun := time.Now()
		ring.Close(200 * time.Millisecond)
		is.Equal(time.Since(begun), 200*time.Millisecond)
		close(out.release)
	})
}
