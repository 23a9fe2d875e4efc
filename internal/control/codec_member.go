package control

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/almondledge/almondledge/internal/member"
	"github.com/almondledge/almondledge/internal/service"
)

// encodeMember encodes a member. It writes the stream address as a port alone
// when its IP address is that of the member, which is the usual case.
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
		return m, fmt.Errorf("member record of %d fields", n)
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
		return fmt.Errorf("invalid member kind %d", m.Kind)
	}
	if m.State < member.Warming || m.State > member.Dead {
		return fmt.Errorf("invalid member state %d", m.State)
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
