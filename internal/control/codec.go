package control

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net/netip"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/almondledge/almondledge/internal/errkind"
	"github.com/almondledge/almondledge/internal/member"
)

// Bounds of the fields of a member record.
const (
	maxAddrBytes       = 18
	maxDataCentreBytes = 64
	memberFields       = 10
	loadFields         = 4
)

// Encode returns the wire form of m. It fails when the result is longer than MaxPayload.
func Encode(m Message) ([]byte, error) {
	var buf bytes.Buffer
	buf.WriteByte(byte(m.messageType()))
	e := msgpack.NewEncoder(&buf)
	e.UseArrayEncodedStructs(true)
	e.UseCompactInts(true)
	if err := e.Encode(m); err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "cannot encode a control message", "report this as a defect")
	}
	if buf.Len() > MaxPayload {
		return nil, badMessage(fmt.Errorf("%d bytes exceed the limit of %d", buf.Len(), MaxPayload))
	}
	return buf.Bytes(), nil
}

// Decode parses the wire form of a message. Work and memory are bounded by MaxPayload.
func Decode(payload []byte) (Message, error) {
	if len(payload) < 2 || len(payload) > MaxPayload {
		return nil, badMessage(fmt.Errorf("invalid length %d", len(payload)))
	}
	m := newMessage(messageType(payload[0]))
	if m == nil {
		return nil, badMessage(fmt.Errorf("unknown message type %d", payload[0]))
	}
	if fields := reflect.TypeOf(m).Elem().NumField(); payload[1] != msgpcode.FixedArrayLow|byte(fields) {
		return nil, badMessage(fmt.Errorf("not an array of %d fields", fields))
	}
	r := bytes.NewReader(payload[1:])
	if err := msgpack.NewDecoder(r).Decode(m); err != nil {
		return nil, badMessage(err)
	}
	if r.Len() > 0 {
		return nil, badMessage(fmt.Errorf("%d bytes after the end of the message", r.Len()))
	}
	if err := m.check(); err != nil {
		return nil, badMessage(err)
	}
	return m, nil
}

func badMessage(cause error) error {
	return errkind.Wrap(cause, errkind.Invalid, "invalid control message", "check that all nodes run compatible versions")
}

func newMessage(t messageType) Message {
	switch t {
	case typeAnnounce:
		return &Announce{}
	case typeAnnounceAck:
		return &AnnounceAck{}
	case typePing:
		return &Ping{}
	case typePingAck:
		return &PingAck{}
	case typePingRequest:
		return &PingRequest{}
	case typeGossip:
		return &Gossip{}
	case typeDigest:
		return &Digest{}
	case typeStatusQuery:
		return &StatusQuery{}
	case typeStatusReply:
		return &StatusReply{}
	default:
		return nil
	}
}

// decodeBytes reads a byte string of at most limit bytes.
func decodeBytes(d *msgpack.Decoder, limit int) ([]byte, error) {
	n, err := d.DecodeBytesLen()
	if err != nil {
		return nil, err
	}
	if n < 0 || n > limit {
		return nil, fmt.Errorf("byte string of %d bytes", n)
	}
	buf := make([]byte, n)
	return buf, d.ReadFull(buf)
}

// decodeLen reads an array header of at most limit items.
func decodeLen(d *msgpack.Decoder, limit int) (int, error) {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return 0, err
	}
	if n > limit {
		return 0, fmt.Errorf("array of %d items", n)
	}
	return max(n, 0), nil
}

func encodeAddr(e *msgpack.Encoder, a netip.AddrPort) error {
	b, err := a.MarshalBinary()
	if err != nil {
		return err
	}
	return e.EncodeBytes(b)
}

func decodeAddr(d *msgpack.Decoder) (netip.AddrPort, error) {
	var a netip.AddrPort
	b, err := decodeBytes(d, maxAddrBytes)
	if err != nil {
		return a, err
	}
	if err := a.UnmarshalBinary(b); err != nil {
		return a, err
	}
	return a, checkAddr(a)
}

func checkAddr(a netip.AddrPort) error {
	if !a.IsValid() || a.Port() == 0 {
		return fmt.Errorf("invalid address %v", a)
	}
	return nil
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (a addr) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeAddr(e, netip.AddrPort(a))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (a *addr) DecodeMsgpack(d *msgpack.Decoder) error {
	v, err := decodeAddr(d)
	*a = addr(v)
	return err
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (l addrList) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeList(e, l, encodeAddr)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *addrList) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	*l, err = decodeList(d, maxAddrs, decodeAddr)
	return err
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (m MemberRecord) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeMember(e, member.Member(m))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *MemberRecord) DecodeMsgpack(d *msgpack.Decoder) error {
	v, err := decodeMember(d)
	*m = MemberRecord(v)
	return err
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (l memberList) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeList(e, l, encodeMember)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *memberList) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	*l, err = decodeList(d, maxMembers, decodeMember)
	return err
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (l loadList) EncodeMsgpack(e *msgpack.Encoder) error {
	return encodeList(e, l, encodeLoad)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *loadList) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	*l, err = decodeList(d, maxLoads, decodeLoad)
	return err
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s sums) EncodeMsgpack(e *msgpack.Encoder) error {
	buf := make([]byte, 0, 4*len(s))
	for _, sum := range s {
		buf = binary.LittleEndian.AppendUint32(buf, sum)
	}
	return e.EncodeBytes(buf)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *sums) DecodeMsgpack(d *msgpack.Decoder) error {
	buf, err := decodeBytes(d, 4*len(s))
	if err != nil {
		return err
	}
	if len(buf) != 4*len(s) {
		return io.ErrUnexpectedEOF
	}
	for i := range s {
		s[i] = binary.LittleEndian.Uint32(buf[4*i:])
	}
	return nil
}

func encodeList[T any](e *msgpack.Encoder, list []T, encode func(*msgpack.Encoder, T) error) error {
	if err := e.EncodeArrayLen(len(list)); err != nil {
		return err
	}
	for _, item := range list {
		if err := encode(e, item); err != nil {
			return err
		}
	}
	return nil
}

func decodeList[T any](d *msgpack.Decoder, limit int, decode func(*msgpack.Decoder) (T, error)) ([]T, error) {
	n, err := decodeLen(d, limit)
	if err != nil || n == 0 {
		return nil, err
	}
	list := make([]T, n)
	for i := range list {
		if list[i], err = decode(d); err != nil {
			return nil, err
		}
	}
	return list, nil
}
