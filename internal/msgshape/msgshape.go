// Package msgshape checks the shape of a msgpack message before the message is decoded. The decoder allocates lists by
// the lengths that a message states and skips unknown values recursively, so a short message of another program could
// otherwise use up the memory of the process.
package msgshape

import (
	"encoding/binary"
	"fmt"

	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/almondledge/almondledge/internal/errkind"
)

// Limits bound the shape of a message.
type Limits struct {
	// Depth is the deepest nesting of lists and maps; a message without any has depth zero.
	Depth int
	// Length is the largest number of elements of one list or map. An entry of a map counts as two elements.
	Length int
	// Elements is the largest number of values in the whole message.
	Elements int
}

// Check returns an error of kind Invalid if message is not exactly one complete msgpack value, or exceeds limits.
func Check(message []byte, limits Limits) error {
	rest := message
	// unread holds, for each open list or map, the number of elements that are still to come. The first level stands
	// for the message itself.
	unread := append(make([]int, 0, limits.Depth+1), 1)
	for elements := 0; len(unread) > 0; {
		top := len(unread) - 1
		if unread[top] == 0 {
			unread = unread[:top]
			continue
		}
		unread[top]--
		elements++
		v, err := readValue(rest)
		if err != nil {
			return err
		}
		rest = rest[v.size:]
		switch {
		case elements > limits.Elements:
			return invalid(fmt.Sprintf("has more than %d values", limits.Elements))
		case v.children > limits.Length:
			return invalid(fmt.Sprintf("has a list or map of %d elements", v.children))
		case v.children > 0 && len(unread) > limits.Depth:
			return invalid(fmt.Sprintf("is nested more than %d times", limits.Depth))
		case v.children > 0:
			unread = append(unread, v.children)
		}
	}
	if len(rest) > 0 {
		return invalid("is followed by other bytes")
	}
	return nil
}

// value is the shape of one msgpack value.
type value struct {
	// size is the number of bytes of the value without the elements of a list or map.
	size int
	// children is the number of elements of a list or map.
	children int
}

// readValue returns the shape of the value at the beginning of b.
func readValue(b []byte) (value, error) {
	if len(b) == 0 {
		return value{}, invalid("ends early")
	}
	v, ok := shapeOf(b)
	if !ok || v.size > len(b) {
		return value{}, invalid("ends early or has an unknown type")
	}
	return v, nil
}

// shapeOf returns the shape of the value at the beginning of b, which is not empty. It returns false if its type is
// unknown or its length is cut off.
func shapeOf(b []byte) (value, bool) {
	code := b[0]
	switch {
	case msgpcode.IsFixedNum(code):
		return value{size: 1}, true
	case msgpcode.IsFixedMap(code):
		return value{size: 1, children: 2 * int(code&msgpcode.FixedMapMask)}, true
	case msgpcode.IsFixedArray(code):
		return value{size: 1, children: int(code & msgpcode.FixedArrayMask)}, true
	case msgpcode.IsFixedString(code):
		return value{size: 1 + int(code&msgpcode.FixedStrMask)}, true
	}
	switch code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return value{size: 1}, true
	case msgpcode.Uint8, msgpcode.Int8:
		return value{size: 2}, true
	case msgpcode.Uint16, msgpcode.Int16, msgpcode.FixExt1:
		return value{size: 3}, true
	case msgpcode.FixExt2:
		return value{size: 4}, true
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return value{size: 5}, true
	case msgpcode.FixExt4:
		return value{size: 6}, true
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return value{size: 9}, true
	case msgpcode.FixExt8:
		return value{size: 10}, true
	case msgpcode.FixExt16:
		return value{size: 18}, true
	}
	return shapeWithLength(b)
}

// shapeWithLength returns the shape of a value whose type is followed by a length of one, two or four bytes.
func shapeWithLength(b []byte) (value, bool) {
	var width int
	switch b[0] {
	case msgpcode.Str8, msgpcode.Bin8, msgpcode.Ext8:
		width = 1
	case msgpcode.Str16, msgpcode.Bin16, msgpcode.Ext16, msgpcode.Array16, msgpcode.Map16:
		width = 2
	case msgpcode.Str32, msgpcode.Bin32, msgpcode.Ext32, msgpcode.Array32, msgpcode.Map32:
		width = 4
	default:
		return value{}, false
	}
	if len(b) < 1+width {
		return value{}, false
	}
	var padded [4]byte
	copy(padded[4-width:], b[1:1+width])
	length := int(binary.BigEndian.Uint32(padded[:]))
	switch b[0] {
	case msgpcode.Array16, msgpcode.Array32:
		return value{size: 1 + width, children: length}, true
	case msgpcode.Map16, msgpcode.Map32:
		return value{size: 1 + width, children: 2 * length}, true
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		return value{size: 1 + width + 1 + length}, true // one byte for the type of the extension
	default:
		return value{size: 1 + width + length}, true
	}
}

func invalid(what string) error {
	return errkind.New(errkind.Invalid, "message "+what, "check which program sends it, and that all processes run the same release")
}
