package controlplane

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/service"
)

// Limits of streams.
const (
	// maxRequestBytes bounds a request frame.
	maxRequestBytes = 4 << 10
	// maxReplyBytes bounds a reply frame; a full table of the design size takes a third of
	// maxReplyBytes.
	maxReplyBytes = 32 << 20
	// requestTimeout bounds a whole exchange at the client.
	requestTimeout = 3 * time.Second
	// serveTimeout bounds one exchange at the server.
	serveTimeout = 10 * time.Second
)

// requestKind is the kind of data that a request asks for.
type requestKind uint8

const (
	requestCatalog requestKind = iota + 1
	requestMembers
	requestLookup
)

// request is the frame that a client sends.
type request struct {
	Kind    requestKind `msgpack:"kind"`
	From    int64       `msgpack:"from,omitempty"`
	Service service.ID  `msgpack:"service,omitempty"`
	Buckets []byte      `msgpack:"buckets,omitempty"`
	Name    string      `msgpack:"name,omitempty"`
}

// ServeConn answers the requests of one authenticated stream until the peer
// closes it, and closes it.
func (d *Driver) ServeConn(conn net.Conn) error {
	defer conn.Close()
	stop := context.AfterFunc(d.ctx, func() { conn.Close() })
	defer stop()
	for {
		if err := d.serveOne(conn); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

func (d *Driver) serveOne(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(serveTimeout)); err != nil {
		return err
	}
	var r request
	if err := readFrame(conn, maxRequestBytes, &r); err != nil {
		return err
	}
	reply, err := d.answer(r)
	if err != nil {
		return err
	}
	n, err := writeFrame(conn, reply)
	d.streamSent.Add(uint64(n))
	return err
}

// request sends one request to a peer over a new stream and reads its reply.
func (d *Driver) request(to netip.AddrPort, r request, reply any) error {
	ctx, cancel := context.WithTimeout(d.ctx, requestTimeout)
	defer cancel()
	conn, err := d.opts.Dial(ctx, to)
	if err != nil {
		return errkind.Wrap(err, errkind.Unavailable, fmt.Sprintf("cannot open a stream to %v", to), "none needed; another peer is tried")
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	n, err := writeFrame(conn, r)
	d.streamSent.Add(uint64(n))
	if err != nil {
		return err
	}
	counted := &countingReader{r: conn}
	err = readFrame(counted, maxReplyBytes, reply)
	d.streamReceived.Add(counted.n)
	return err
}

// writeFrame writes a message, preceded by its length as four bytes in big-endian order.
func writeFrame(w io.Writer, message any) (int, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, 4))
	if err := msgpack.NewEncoder(&buf).Encode(message); err != nil {
		return 0, err
	}
	frame := buf.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4))
	return w.Write(frame)
}

// readFrame reads one message of at most limit bytes.
func readFrame(r io.Reader, limit uint32, message any) error {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > limit {
		return errkind.New(errkind.Invalid, fmt.Sprintf("stream frame of %d bytes exceeds the limit of %d", size, limit),
			"check that all nodes run compatible versions")
	}
	body := &io.LimitedReader{R: r, N: int64(size)}
	if err := msgpack.NewDecoder(body).Decode(message); err != nil {
		return errkind.Wrap(err, errkind.Invalid, "invalid stream frame", "check that all nodes run compatible versions")
	}
	_, err := io.Copy(io.Discard, body)
	return err
}

// countingReader counts the bytes read through it.
type countingReader struct {
	r io.Reader
	n uint64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += uint64(n)
	return n, err
}
