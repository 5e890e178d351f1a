package endpoint

import (
	"cmp"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// loadFields is the number of fields of a Load before Slowdown.
const loadFields = 14

var errShortLoad = errors.New("load report with too few fields")

// EncodeMsgpack writes the fields in their order as an array. Slowdown is written only if it is
// stated: a gateway of an earlier version refuses a report with a further field.
func (l Load) EncodeMsgpack(enc *msgpack.Encoder) error {
	n := loadFields
	if l.Slowdown > 0 {
		n++
	}
	if err := enc.EncodeArrayLen(n); err != nil {
		return err
	}
	// The calls for each type allocate less than one call for all.
	for _, v := range [...]int{l.Limit, l.Running, l.Queued, l.QueuedTokens, l.RunningTokens} {
		if err := enc.EncodeInt(int64(v)); err != nil {
			return err
		}
	}
	err := cmp.Or(
		enc.EncodeFloat64(l.PrefillRate), enc.EncodeFloat64(l.DecodeRate),
		enc.EncodeInt(int64(l.SpeedAge)), enc.EncodeInt(int64(l.Floor)),
		enc.EncodeBool(l.Exact), enc.EncodeBool(l.Full), enc.EncodeBool(l.Cold), enc.EncodeBool(l.Leaving),
		enc.EncodeInt(int64(l.Age)),
	)
	if err != nil || l.Slowdown == 0 {
		return err
	}
	return enc.EncodeUint(uint64(l.Slowdown))
}

// DecodeMsgpack reads what EncodeMsgpack wrote. It skips fields of later versions.
func (l *Load) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	*l = Load{}
	if n == -1 {
		return nil
	}
	if n < loadFields {
		return fmt.Errorf("%w: %d", errShortLoad, n)
	}
	err = dec.DecodeMulti(&l.Limit, &l.Running, &l.Queued, &l.QueuedTokens, &l.RunningTokens, &l.PrefillRate, &l.DecodeRate,
		&l.SpeedAge, &l.Floor, &l.Exact, &l.Full, &l.Cold, &l.Leaving, &l.Age)
	if err == nil && n > loadFields {
		err = dec.Decode(&l.Slowdown)
	}
	for i := loadFields + 1; err == nil && i < n; i++ {
		err = dec.Skip()
	}
	return err
}
