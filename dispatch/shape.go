package dispatch

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// maxNesting is the number of arrays and maps in one another that a message may have.
const maxNesting = 32

// ErrTooDeep is returned for a message with more than 32 arrays and maps in one another. The
// msgpack decoder calls itself for each of them, and has no bound.
var ErrTooDeep = errors.New("message nested too deeply")

// ReadMessage reads one msgpack message of at most MaxFrame bytes up to the end of r. Errors are
// those of r, ErrMalformed for a longer one or one that is cut short, ErrTooDeep, and those of the
// decoder.
func ReadMessage(r io.Reader, into any) error {
	b, err := io.ReadAll(io.LimitReader(r, MaxFrame+1))
	if err != nil {
		return err
	}
	if len(b) > MaxFrame {
		return fmt.Errorf("%w: more than %d bytes", ErrMalformed, MaxFrame)
	}
	if err := checkShape(b); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, into)
}

// checkShape returns ErrTooDeep if a msgpack value has more than maxNesting arrays and maps in one
// another, and ErrMalformed if it is cut short. Both are found before the decoder makes room for
// as many values as an array or map says that it has.
func checkShape(b []byte) error {
	var open [maxNesting]uint64 // values to come in each open array or map
	depth, pending := 0, uint64(1)
	for pending > 0 {
		head := readHead(b)
		if head.size == 0 || uint64(len(b)) < head.size {
			return fmt.Errorf("%w: cut short", ErrMalformed)
		}
		b = b[head.size:]
		pending += head.values - 1
		if pending > uint64(len(b)) {
			return fmt.Errorf("%w: says that it has more values than bytes", ErrMalformed)
		}
		if head.values > 0 {
			if depth == maxNesting {
				return ErrTooDeep
			}
			open[depth] = head.values
			depth++
			continue
		}
		for ; depth > 0; depth-- {
			if open[depth-1]--; open[depth-1] > 0 {
				break
			}
		}
	}
	return nil
}

// valueHead is the beginning of a msgpack value.
type valueHead struct {
	// size is the number of bytes of the head and, for a value other than an array or map, of
	// its content. It is 0 for a head that is cut short.
	size uint64
	// values is the number of values in an array, or of keys and values in a map.
	values uint64
}

// Ranges of the first byte of a msgpack value, each from the named byte up to the next.
const (
	fixMapCode    = 0x80
	fixArrayCode  = 0x90
	fixStringCode = 0xa0
	nilCode       = 0xc0
	binaryCode    = 0xc4 // lengths of 1, 2 and 4 bytes; the extension types likewise
	extensionCode = 0xc7
	floatCode     = 0xca
	uintCode      = 0xcc // of 1, 2, 4 and 8 bytes; the signed integers likewise
	intCode       = 0xd0
	fixExtCode    = 0xd4 // of 1, 2, 4, 8 and 16 bytes, after a byte for the type
	stringCode    = 0xd9 // lengths of 1, 2 and 4 bytes
	arrayCode     = 0xdc // lengths of 2 and 4 bytes; the maps likewise
	mapCode       = 0xde
	negativeCode  = 0xe0
)

// readHead reads the head of the value with which b begins.
func readHead(b []byte) valueHead {
	if len(b) == 0 {
		return valueHead{}
	}
	switch c := b[0]; {
	case c < fixMapCode, c >= negativeCode:
		return valueHead{size: 1}
	case c < fixArrayCode:
		return valueHead{size: 1, values: 2 * uint64(c-fixMapCode)}
	case c < fixStringCode:
		return valueHead{size: 1, values: uint64(c - fixArrayCode)}
	case c < nilCode:
		return valueHead{size: 1 + uint64(c-fixStringCode)}
	case c < binaryCode:
		return valueHead{size: 1}
	case c < extensionCode:
		return readContent(b, 1<<(c-binaryCode), 0)
	case c < floatCode:
		return readContent(b, 1<<(c-extensionCode), 1)
	case c < uintCode:
		return valueHead{size: 5 + 4*uint64(c-floatCode)}
	case c < intCode:
		return valueHead{size: 1 + 1<<(c-uintCode)}
	case c < fixExtCode:
		return valueHead{size: 1 + 1<<(c-intCode)}
	case c < stringCode:
		return valueHead{size: 2 + 1<<(c-fixExtCode)}
	case c < arrayCode:
		return readContent(b, 1<<(c-stringCode), 0)
	case c < mapCode:
		return readCount(b, 2<<(c-arrayCode), 1)
	default:
		return readCount(b, 2<<(c-mapCode), 2)
	}
}

// readContent reads the head of a value whose length stands in width bytes, before extra bytes.
func readContent(b []byte, width int, extra uint64) valueHead {
	n, ok := readUint(b[1:], width)
	if !ok {
		return valueHead{}
	}
	return valueHead{size: 1 + uint64(width) + extra + n} //nolint:gosec // width is 1, 2 or 4
}

// readCount reads the head of an array or map whose length stands in width bytes.
func readCount(b []byte, width int, each uint64) valueHead {
	n, ok := readUint(b[1:], width)
	if !ok {
		return valueHead{}
	}
	return valueHead{size: 1 + uint64(width), values: each * n} //nolint:gosec // width is 2 or 4
}

func readUint(b []byte, width int) (n uint64, ok bool) {
	if len(b) < width {
		return 0, false
	}
	switch width {
	case 1:
		return uint64(b[0]), true
	case 2:
		return uint64(binary.BigEndian.Uint16(b)), true
	default:
		return uint64(binary.BigEndian.Uint32(b)), true
	}
}
