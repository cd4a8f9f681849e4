package lockstep

import (
	"encoding/binary"
	"math/bits"

	"github.com/ansel1/merry/v2"
)

// ErrChoices is returned for packed choices that can't be read.
var ErrChoices = merry.Sentinel("packed choices can't be read")

// maxChoices bounds what packed choices may say that they hold.
const maxChoices = 1 << 20

// choiceWidths are the bits that a number may take; all of them one says that it is larger.
var choiceWidths = []int{1, 2, 4, 8}

// PackChoices encodes choices for the links of the hosts beside ranks: at 6 Mbit/s the
// 3,840 numbers of 13 ranks take 70 ms as varints, of which most are below fifteen, and 35 ms
// packed. Each takes the width that suits most of them; what is beyond it follows as varints.
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
	most := uint32(1)<<width - 1
	for i, n := range chosen {
		bit := i * width
		out[begin+bit/8] |= byte(min(n, most)) << (bit % 8)
	}
	for _, n := range chosen {
		if n >= most {
			out = binary.AppendUvarint(out, uint64(n-most))
		}
	}
	return out
}

func packedSize(chosen []uint32, width int) int {
	most := uint32(1)<<width - 1
	size := (len(chosen)*width + 7) / 8
	for _, n := range chosen {
		if n >= most {
			size += (max(bits.Len32(n-most), 1) + 6) / 7
		}
	}
	return size
}

// UnpackChoices reads what PackChoices made.
func UnpackChoices(data []byte) ([]uint32, error) {
	if len(data) == 0 {
		return nil, nil
	}
	width := int(data[0])
	if width != 1 && width != 2 && width != 4 && width != 8 {
		return nil, merry.Prependf(ErrChoices, "%d bits", width)
	}
	n, used := binary.Uvarint(data[1:])
	if used <= 0 || n > maxChoices {
		return nil, merry.Prepend(ErrChoices, "number of choices")
	}
	data = data[1+used:]
	packed := (int(n)*width + 7) / 8
	if len(data) < packed {
		return nil, merry.Prepend(ErrChoices, "cut off")
	}
	rest := data[packed:]
	most := uint32(1)<<width - 1
	out := make([]uint32, n)
	for i := range out {
		bit := i * width
		out[i] = uint32(data[bit/8]>>(bit%8)) & most
		if out[i] < most {
			continue
		}
		more, used := binary.Uvarint(rest)
		if used <= 0 || more > 1<<32-1 {
			return nil, merry.Prepend(ErrChoices, "cut off")
		}
		out[i] += uint32(more)
		rest = rest[used:]
	}
	return out, nil
}
