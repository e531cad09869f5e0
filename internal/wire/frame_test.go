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

func encoded(t testing.TB, f Frame) []byte {
	var b bytes.Buffer
	must.NoError(t, WriteFrame(&b, f))
	return b.Bytes()
}

func TestFrames(t *testing.T) {
	f := Frame{Flags: FlagResponse, Type: TypePing, CallID: 1 << 60, Body: []byte("body")}
	good := encoded(t, f)
	with := func(at int, v byte) []byte {
		b := bytes.Clone(good)
		b[at] = v
		return b
	}
	cases := []struct {
		name string
		data []byte
		err  error
		kind fault.Kind
	}{
		{"whole", good, nil, 0},
		{"end of the connection", nil, io.EOF, 0},
		{"cut header", good[:5], io.ErrUnexpectedEOF, 0},
		{"cut body", good[:len(good)-1], io.ErrUnexpectedEOF, 0},
		{"no body", good[:headerBytes], io.ErrUnexpectedEOF, 0},
		{"too long", with(0, 0xff), nil, fault.TooLarge},
		{"other version", with(4, Version+1), nil, fault.BadInput},
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
	_, err := ReadFrameLimit(bytes.NewReader(good), 3)
	test.Eq(t, fault.TooLarge, fault.KindOf(err))
	err = WriteFrame(io.Discard, Frame{Body: make([]byte, MaxFrameBytes+1)})
	test.Eq(t, fault.TooLarge, fault.KindOf(err))
}

func FuzzReadFrame(f *testing.F) {
	f.Add(encoded(f, Frame{Type: TypeProof, CallID: 7, Body: []byte("body")}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, Version, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := ReadFrameLimit(bytes.NewReader(data), 1<<16)
		if err != nil {
			return
		}
		if again := encoded(t, frame); !bytes.Equal(again, data[:len(again)]) {
			t.Fatalf("%x became %x", data, again)
		}
	})
}
