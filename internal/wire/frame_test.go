package wire

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

func encodeFrame(t testing.TB, f Frame) []byte {
	var b bytes.Buffer
	must.NoError(t, WriteFrame(&b, f))
	return b.Bytes()
}

func TestReadFrame(t *testing.T) {
	f := Frame{Flags: FlagResponse, Type: TypePing, CallID: 1 << 60, Body: []byte("body")}
	valid := encodeFrame(t, f)
	withByte := func(index int, v byte) []byte {
		b := bytes.Clone(valid)
		b[index] = v
		return b
	}
	cases := []struct {
		name string
		data []byte
		err  error
		kind fault.Kind
	}{
		{"valid frame", valid, nil, 0},
		{"connection closed before the frame", nil, io.EOF, 0},
		{"incomplete header", valid[:5], io.ErrUnexpectedEOF, 0},
		{"incomplete body", valid[:len(valid)-1], io.ErrUnexpectedEOF, 0},
		{"missing body", valid[:headerBytes], io.ErrUnexpectedEOF, 0},
		{"length above the limit", withByte(0, 0xff), nil, fault.TooLarge},
		{"unsupported version", withByte(4, Version+1), nil, fault.BadInput},
	}
	for _, tc := range cases {
		got, err := ReadFrame(bytes.NewReader(tc.data))
		switch {
		case tc.err != nil:
			test.True(t, errors.Is(err, tc.err), test.Sprint(tc.name))
		case tc.kind != 0:
			test.Eq(t, tc.kind, fault.KindOf(err), test.Sprint(tc.name))
		default:
			test.NoError(t, err)
			test.Eq(t, f, got)
		}
	}
	_, err := ReadFrameLimit(bytes.NewReader(valid), 3)
	test.Eq(t, fault.TooLarge, fault.KindOf(err))
	err = WriteFrame(io.Discard, Frame{Body: make([]byte, MaxFrameBytes+1)})
	test.Eq(t, fault.TooLarge, fault.KindOf(err))
}

func FuzzReadFrame(f *testing.F) {
	f.Add(encodeFrame(f, Frame{Type: TypeProof, CallID: 7, Body: []byte("body")}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, Version, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := ReadFrameLimit(bytes.NewReader(data), 1<<16)
		if err != nil {
			return
		}
		if again := encodeFrame(t, frame); !bytes.Equal(again, data[:len(again)]) {
			t.Fatalf("frame %x was encoded as %x after decoding", data, again)
		}
	})
}
