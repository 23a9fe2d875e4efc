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

// stalledOutput is an output whose Write blocks until release is closed.
type stalledOutput struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *stalledOutput) Write(p []byte) (int, error) {
	<-s.release
	return s.text.Write(p)
}

func TestStalledOutputDoesNotBlockWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stalledOutput{release: make(chan struct{})}
		ring := logring.New(out)
		started := time.Now()
		for i := range 10_000 {
			_, err := fmt.Fprintf(ring, "line %d\n", i)
			is.NoErr(err)
		}
		is.Equal(time.Since(started), time.Duration(0)) // on the fake clock: no call has waited
		is.True(ring.Dropped() > 5000)
		is.True(!ring.HasRoom())
		close(out.release)
		ring.Close(time.Second)
		is.True(bytes.Contains(out.text.Bytes(), []byte("line 0\n")))
		is.True(bytes.Contains(out.text.Bytes(), []byte("log lines dropped")))
	})
}

// Goroutines may still log while the process exits; they must not panic or block.
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

func TestCloseReturnsAtItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stalledOutput{release: make(chan struct{})}
		ring := logring.New(out)
		_, err := ring.Write([]byte("line\n"))
		is.NoErr(err)
		started := time.Now()
		ring.Close(200 * time.Millisecond)
		is.Equal(time.Since(started), 200*time.Millisecond)
		close(out.release)
	})
}

// Guards against the loss of a line that is written just before Close: the goroutine found the buffer empty, and when it
// then waited, the line and the end were both there; it chose either.
func TestCloseWritesTheLastLine(t *testing.T) {
	is := is.New(t)
	const writers = 50_000 // the window is some nanoseconds wide
	for range writers {
		var out bytes.Buffer
		ring := logring.New(&out)
		_, err := ring.Write([]byte("last\n"))
		is.NoErr(err)
		ring.Close(10 * time.Second)
		is.Equal(out.String(), "last\n")
	}
}
