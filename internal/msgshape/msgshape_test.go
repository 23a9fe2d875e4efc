package msgshape

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/almondledge/almondledge/internal/errkind"
)

var testLimits = Limits{Depth: 3, Length: 40, Elements: 1000}

func TestCheckAcceptsAllTypes(t *testing.T) {
	for _, v := range []any{
		nil, true, false, 0, 1, -1, 200, -100, 60_000, -30_000, 1 << 20, -1 << 20, int64(math.MaxInt64), int64(math.MinInt64),
		uint64(math.MaxUint64), float32(1.5), 1.5, "", "short", strings.Repeat("a", 200), strings.Repeat("a", 70_000),
		[]byte{}, []byte{1}, make([]byte, 300), make([]byte, 70_000),
		[]int{}, []int{1, 2, 3}, make([]int, 40), map[string]int{"a": 1}, map[string][]int{"a": {1, 2}, "b": nil},
		[][]string{{"a"}, {"b", "c"}}, map[int]any{1: map[string]any{"a": []int{1}}},
	} {
		is := is.New(t)
		encoded, err := msgpack.Marshal(v)
		is.NoErr(err)
		is.NoErr(Check(encoded, testLimits))
		for cut := range min(len(encoded), 100) {
			is.True(errkind.Is(Check(encoded[:cut], testLimits), errkind.Invalid)) // ends early
		}
		is.True(errkind.Is(Check(append(encoded, 0), testLimits), errkind.Invalid)) // followed by another value
	}
}

func TestCheckAcceptsExtensions(t *testing.T) {
	is := is.New(t)
	for code, size := range map[byte]int{0xd4: 1, 0xd5: 2, 0xd6: 4, 0xd7: 8, 0xd8: 16} {
		is.NoErr(Check(append([]byte{code, 1}, make([]byte, size)...), testLimits))
	}
	is.NoErr(Check([]byte{0xc7, 2, 1, 0, 0}, testLimits))
	is.NoErr(Check([]byte{0xc8, 0, 2, 1, 0, 0}, testLimits))
	is.NoErr(Check([]byte{0xc9, 0, 0, 0, 2, 1, 0, 0}, testLimits))
}

func TestCheckRefuses(t *testing.T) {
	for name, message := range map[string][]byte{
		"an unused type":      {0xc1},
		"a long list":         append([]byte{0xdc, 0, 41}, make([]byte, 41)...),
		"a long map":          append([]byte{0xde, 0, 21}, make([]byte, 42)...),
		"the longest list":    {0xdd, 0xff, 0xff, 0xff, 0xff},
		"the longest map":     {0xdf, 0xff, 0xff, 0xff, 0xff},
		"the longest text":    {0xdb, 0xff, 0xff, 0xff, 0xff},
		"deep nesting":        bytes.Repeat([]byte{0x91}, 5),
		"very deep nesting":   bytes.Repeat([]byte{0x91}, 1<<20),
		"deeply nested maps":  bytes.Repeat([]byte{0x81, 0xa1, 'a'}, 1<<16),
		"too many values":     append([]byte{0xdc, 0, 40}, bytes.Repeat(append([]byte{0xdc, 0, 40}, make([]byte, 40)...), 40)...),
		"a number that stops": {0xcf, 1, 2, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).True(errkind.Is(Check(message, testLimits), errkind.Invalid))
		})
	}
}

// Whatever Check accepts, the decoder reads without an error, too.
func FuzzCheck(f *testing.F) {
	f.Add([]byte{0x92, 0x01, 0xa1, 'a'})
	f.Add([]byte{0x81, 0xa1, 'a', 0xc7, 1, 1, 0})
	f.Fuzz(func(t *testing.T, message []byte) {
		if Check(message, testLimits) != nil {
			return
		}
		d := msgpack.NewDecoder(bytes.NewReader(message))
		if err := d.Skip(); err != nil {
			t.Fatalf("%x: %v", message, err)
		}
	})
}
