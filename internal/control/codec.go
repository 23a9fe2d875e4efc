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
	"github.com/almondledge/almondledge/internal/service"
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
		return nil, badMessage(fmt.Errorf("%d bytes are more than %d", buf.Len(), MaxPayload))
	}
	return buf.Bytes(), nil
}

// Decode parses the wire form of a message. Work and memory are bounded by MaxPayload.
func Decode(payload []byte) (Message, error) {
	if len(payload) < 2 || len(payload) > MaxPayload {
		return nil, badMessage(fmt.Errorf("length %d", len(payload)))
	}
	m := newMessage(messageType(payload[0]))
	if m == nil {
		return nil, badMessage(fmt.Errorf("type %d", payload[0]))
	}
	if fields := reflect.TypeOf(m).Elem().NumField(); payload[1] != msgpcode.FixedArrayLow|byte(fields) {
		return nil, badMessage(fmt.Errorf("not an array of %d fields", fields))
	}
	r := bytes.NewReader(payload[1:])
	if err := msgpack.NewDecoder(r).Decode(m); err != nil {
		return nil, badMessage(err)
	}
	if r.Len() > 0 {
		return nil, badMessage(fmt.Errorf("%d bytes too many", r.Len()))
	}
	if err := m.check(); err != nil {
		return nil, badMessage(err)
	}
	return m, nil
}

func badMessage(cause error) error {
	return errkind.Wrap(cause, errkind.Invalid, "bad control message", "check that all nodes run compatible versions")
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
		return fmt.Errorf("bad address %v", a)
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

// encodeMember writes the stream address only as a port when its IP address is
// that of the member, which is the rule.
func encodeMember(e *msgpack.Encoder, m member.Member) error {
	if err := e.EncodeArrayLen(memberFields); err != nil {
		return err
	}
	if err := encodeAddr(e, m.Addr); err != nil {
		return err
	}
	if err := encodeStream(e, m); err != nil {
		return err
	}
	if err := e.EncodeBytes([]byte(m.DataCentre)); err != nil {
		return err
	}
	numbers := [...]uint64{
		uint64(m.Kind), uint64(m.State), m.Incarnation, uint64(m.Service),
		uint64(m.Capacity), uint64(m.Load), uint64(m.Sequence),
	}
	for _, n := range numbers {
		if err := e.EncodeUint(n); err != nil {
			return err
		}
	}
	return nil
}

func encodeStream(e *msgpack.Encoder, m member.Member) error {
	if !m.Stream.IsValid() || m.Stream.Addr() == m.Addr.Addr() {
		return e.EncodeBytes(binary.LittleEndian.AppendUint16(nil, m.Stream.Port()))
	}
	return encodeAddr(e, m.Stream)
}

func decodeMember(d *msgpack.Decoder) (m member.Member, err error) {
	n, err := decodeLen(d, memberFields)
	if err != nil {
		return m, err
	}
	if n != memberFields {
		return m, fmt.Errorf("member of %d fields", n)
	}
	if m.Addr, err = decodeAddr(d); err != nil {
		return m, err
	}
	if m.Stream, err = decodeStream(d, m.Addr.Addr()); err != nil {
		return m, err
	}
	dataCentre, err := decodeBytes(d, maxDataCentreBytes)
	if err != nil {
		return m, err
	}
	m.DataCentre = string(dataCentre)
	var numbers [memberFields - 3]uint64
	for i := range numbers {
		if numbers[i], err = d.DecodeUint64(); err != nil {
			return m, err
		}
	}
	m.Kind, m.State, m.Incarnation = member.Kind(numbers[0]), member.State(numbers[1]), numbers[2]
	m.Service, m.Capacity = service.ID(numbers[3]), uint16(numbers[4])
	m.Load, m.Sequence = uint8(numbers[5]), uint32(numbers[6])
	return m, checkMember(m)
}

func checkMember(m member.Member) error {
	if err := checkAddr(m.Addr); err != nil {
		return err
	}
	if m.Kind != member.Balancer && m.Kind != member.Agent {
		return fmt.Errorf("bad kind %d", m.Kind)
	}
	if m.State < member.Warming || m.State > member.Dead {
		return fmt.Errorf("bad state %d", m.State)
	}
	return nil
}

func decodeStream(d *msgpack.Decoder, ip netip.Addr) (netip.AddrPort, error) {
	b, err := decodeBytes(d, maxAddrBytes)
	if err != nil {
		return netip.AddrPort{}, err
	}
	if len(b) == 2 {
		port := binary.LittleEndian.Uint16(b)
		if port == 0 {
			return netip.AddrPort{}, nil
		}
		return netip.AddrPortFrom(ip, port), nil
	}
	var a netip.AddrPort
	return a, a.UnmarshalBinary(b)
}

func encodeLoad(e *msgpack.Encoder, l loadReport) error {
	if err := e.EncodeArrayLen(loadFields); err != nil {
		return err
	}
	if err := encodeAddr(e, l.Addr); err != nil {
		return err
	}
	for _, n := range [...]uint64{l.Incarnation, uint64(l.Sequence), uint64(l.Load)} {
		if err := e.EncodeUint(n); err != nil {
			return err
		}
	}
	return nil
}

func decodeLoad(d *msgpack.Decoder) (l loadReport, err error) {
	n, err := decodeLen(d, loadFields)
	if err != nil {
		return l, err
	}
	if n != loadFields {
		return l, fmt.Errorf("load report of %d fields", n)
	}
	if l.Addr, err = decodeAddr(d); err != nil {
		return l, err
	}
	var numbers [loadFields - 1]uint64
	for i := range numbers {
		if numbers[i], err = d.DecodeUint64(); err != nil {
			return l, err
		}
	}
	l.Incarnation, l.Sequence, l.Load = numbers[0], uint32(numbers[1]), uint8(numbers[2])
	return l, nil
}
