package link_test

import (
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hibiscuscart/hibiscuscart/link"
	"github.com/hibiscuscart/hibiscuscart/wire"
)

// The kind is read from the first bytes of a frame. It must name each member of a frame, also behind
// trace contexts of all lengths.
func TestKindOf(t *testing.T) {
	message := reflect.TypeFor[wire.Message]()
	for i := range message.NumField() {
		field := message.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.Type.Kind() != reflect.Pointer {
			continue
		}
		t.Run(name, func(t *testing.T) {
			for _, length := range []int{0, 5, 23, 24, 55, 255, 256, 3000} {
				m := &wire.Message{Traceparent: strings.Repeat("x", length)}
				reflect.ValueOf(m).Elem().Field(i).Set(reflect.New(field.Type.Elem()))
				data, err := link.Encode(m)
				require.NoError(t, err)
				require.Equal(t, name, link.KindOf(data), "%d characters", length)
			}
		})
	}
}

func TestKindOfOtherData(t *testing.T) {
	whole, err := link.Encode(&wire.Message{Traceparent: strings.Repeat("x", 300), VMReport: &wire.VMReport{}})
	require.NoError(t, err)
	for name, data := range map[string][]byte{
		"nothing": nil, "no array": {0x01}, "another array": {0x81, 0xf6}, "header only": {whole[0]}, "cut off in the trace context": whole[:24],
		"no text": append([]byte{whole[0]}, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6, 0xf6, 0xff),
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, link.KindUnknown, link.KindOf(data)) })
	}
}
