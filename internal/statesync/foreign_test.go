package statesync_test

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"runtime"
	"runtime/metrics"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/network"
	"github.com/almondledge/almondledge/internal/statesync"
)

const (
	// maxMemoryGrowth is half of the memory limit of the smallest processes, in bytes.
	maxMemoryGrowth = 76 << 20
	// nestedBytes is the size of a nested message before its compression. It is read well within the time limit of an
	// exchange, and a recursion as deep takes several times maxMemoryGrowth.
	nestedBytes = 2 << 20
)

// nestedMessage returns a map whose only value, under an unknown key, is nested as deep as its size allows.
func nestedMessage() []byte {
	return append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, nestedBytes)...)
}

// memoryInUse returns the memory of stacks and objects, in bytes.
func memoryInUse() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/heap/stacks:bytes"}, {Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() + samples[1].Value.Uint64()
}

// memoryGrowth returns by how many bytes the memory in use grows at most during f.
func memoryGrowth(f func()) uint64 {
	runtime.GC()
	before := memoryInUse()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	peak := before
	for {
		peak = max(peak, memoryInUse())
		select {
		case <-done:
			return max(peak, memoryInUse()) - before
		case <-time.After(time.Millisecond):
		}
	}
}

// Guards against deeply nested messages of other programs: unknown values were skipped recursively, on a stack of a
// gigabyte, which ends a process that has a memory limit.
func TestNestedResponseIsRefused(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	is.NoErr(err)
	_, err = w.Write(nestedMessage())
	is.NoErr(err)
	is.NoErr(w.Close())
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		// Closing a connection with unread bytes would reset it.
		_, _ = msgpack.NewDecoder(conn).DecodeMap()
		_, _ = conn.Write(packed.Bytes())
		_ = conn.Close()
	}()
	addr := netip.MustParseAddrPort(listener.Addr().String())
	growth := memoryGrowth(func() {
		_, _, err = statesync.FetchMembers(context.Background(), network.System{}.DialTCP, addr)
	})
	is.True(errkind.Is(err, errkind.Unavailable))
	is.True(growth < maxMemoryGrowth)
}

func TestNestedRequestIsRefused(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go statesync.Serve(listener, tableSource{})
	message := nestedMessage()
	growth := memoryGrowth(func() {
		conn, dialErr := net.Dial("tcp4", listener.Addr().String())
		is.NoErr(dialErr)
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, err = conn.Write(message)
		if err == nil {
			_, err = conn.Read(make([]byte, 1))
		}
	})
	var timeout net.Error
	is.True(err != nil)
	is.True(errors.Is(err, io.EOF) || !errors.As(err, &timeout) || !timeout.Timeout()) // the connection was closed in time
	is.True(growth < maxMemoryGrowth)
}
