package lockstep

import (
	"encoding/binary"
	"math/bits"

	"github.com/ansel1/merry/v2"
)

// ErrChoices is returned for packed choices that are malformed.
var ErrChoices = merry.Sentinel("malformed packed choices")

// maxChoices bounds the number of choices that are unpacked.
const maxChoices = 1 << 20

// choiceWidths are the possible field widths in bits. A field with all bits set means that the
// number is at least that large; a varint holds the rest.
var choiceWidths = []int{1, 2, 4, 8}

// PackChoices encodes choices compactly, as the links to the hosts of the ranks may be slow.
// All numbers use the same field width, the one with the shortest result, followed by the
// varints of those that exceed it. It returns nil if there are no choices.
func PackChoices(chosen []uint32) []byte {
	if len(chosen) == 0 {
		return nil
	}
	width, size := 0, 0
	for _, w := range choiceWidths {
		if n := packedSize(chosen, w); width == 0 || n < size {
			width, size = w, n
		}
	}
	out := make([]byte, 0, size+binary.MaxVarintLen64)
	out = append(out, byte(width))
	out = binary.AppendUvarint(out, uint64(len(chosen)))
	begin := len(out)
	out = append(out, make([]byte, (len(chosen)*width+7)/8)...)
	escape := uint32(1)<<width - 1
	for i, n := range chosen {
		bit := i * width
		out[begin+bit/8] |= byte(min(n, escape)) << (bit % 8)
	}
	for _, n := range chosen {
		if n >= escape {
			out = binary.AppendUvarint(out, uint64(n-escape))
		}
	}
	return out
}

// packedSize returns the size of the fields and varints for a field width.
func packedSize(chosen []uint32, width int) int {
	escape := uint32(1)<<width - 1
	size := (len(chosen)*width + 7) / 8
	for _, n := range chosen {
		if n >= escape {
			size += (max(bits.Len32(n-escape), 1) + 6) / 7
		}
	}
	return size
}

// UnpackChoices decodes the result of PackChoices. It returns an ErrChoices error for malformed
// data.
func UnpackChoices(data []byte) ([]uint32, error) {
	if len(data) == 0 {
		return nil, nil
	}
	width := int(data[0])
	if width != 1 && width != 2 && width != 4 && width != 8 {
		return nil, merry.Prependf(ErrChoices, "field width of %d bits", width)
	}
	n, used := binary.Uvarint(data[1:])
	if used <= 0 || n > maxChoices {
		return nil, merry.Prepend(ErrChoices, "invalid number of choices")
	}
	data = data[1+used:]
	packed := (int(n)*width + 7) / 8
	if len(data) < packed {
		return nil, merry.Prepend(ErrChoices, "truncated")
	}
	rest := data[packed:]
	escape := uint32(1)<<width - 1
	out := make([]uint32, n)
	for i := range out {
		bit := i * width
		out[i] = uint32(data[bit/8]>>(bit%8)) & escape
		if out[i] < escape {
			continue
		}
		more, used := binary.Uvarint(rest)
		if used <= 0 || more > 1<<32-1 {
			return nil, merry.Prepend(ErrChoices, "truncated")
		}
		out[i] += uint32(more)
		rest = rest[used:]
	}
	return out, nil
}
