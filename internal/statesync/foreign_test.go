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
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/network"
	"github.com/almondledge/almondledge/internal/statesync"
)

const (
	// maxMemoryGrowth is half of the memory limit of the smallest processes, in bytes.
	maxMemoryGrowth = 76 << 20
	// nestedBytes is the size of a nested message before its compression.
	nestedBytes = 15 << 20
)

// nestedMessage returns a map whose only value, under an unknown key, is nested as deep as its size allows.
func nestedMessage() []byte {
	return append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, nestedBytes)...)
}

// memoryGrowth returns by how many bytes the memory that the process has obtained grows during f.
func memoryGrowth(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.Sys - before.Sys
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
