// Package wire defines the protocol between daemons: frames, message types, the
// protocol version and size limits. It also defines the encoding of the records
// in the platform's log. It opens no connections and contains no logic beyond
// encoding.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// Protocol limits.
const (
	// Version is the protocol version in each frame.
	Version = 1
	// MaxFrameBytes limits the body of a frame.
	MaxFrameBytes = 8 << 20
	// MaxDatagramBytes limits a membership datagram. It is below common path MTUs.
	MaxDatagramBytes = 1400
	// headerBytes is the size of a frame header: body length (4 bytes), version
	// (1), flags (1), message type (2) and call ID (8).
	headerBytes = 16
)

// Flag bits of a frame.
const (
	// FlagResponse marks a response.
	FlagResponse = 1 << iota
	// FlagError marks a response whose body is an Error message.
	FlagError
)

// Type is the type of a message. Each group of messages has a separate range of
// values, and a value is never reused for another message.
type Type uint16

// Message is a message of the protocol between daemons.
type Message interface {
	// WireType returns the message type for the frame header.
	WireType() Type
}

// Frame is one message on a connection.
type Frame struct {
	Flags uint8
	Type  Type
	// CallID matches a response to its request on the same connection.
	CallID uint64
	Body   []byte
}

// WriteFrame writes f to w in a single Write call.
func WriteFrame(w io.Writer, f Frame) error {
	if len(f.Body) > MaxFrameBytes {
		return fault.New(fault.TooLarge, "send less in one message", "frame of %d bytes exceeds the limit of %d", len(f.Body), MaxFrameBytes)
	}
	buf := make([]byte, headerBytes, headerBytes+len(f.Body))
	binary.BigEndian.PutUint32(buf[0:], uint32(len(f.Body)))
	buf[4] = Version
	buf[5] = f.Flags
	binary.BigEndian.PutUint16(buf[6:], uint16(f.Type))
	binary.BigEndian.PutUint64(buf[8:], f.CallID)
	_, err := w.Write(append(buf, f.Body...))
	return err
}

// ReadFrame reads a frame. It returns io.EOF if the connection ends before the
// frame begins, and io.ErrUnexpectedEOF if the frame is incomplete.
func ReadFrame(r io.Reader) (Frame, error) { return ReadFrameLimit(r, MaxFrameBytes) }

// ReadFrameLimit is like ReadFrame, but returns an error if the body is larger
// than limit. A small limit keeps peers that are not yet authenticated from
// causing large allocations.
func ReadFrameLimit(r io.Reader, limit int) (Frame, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Frame{}, err
	}
	size := binary.BigEndian.Uint32(head[0:])
	if uint64(size) > uint64(limit) {
		return Frame{}, fault.New(fault.TooLarge, "check that the peer speaks this protocol", "frame of %d bytes exceeds the limit of %d", size, limit)
	}
	if head[4] != Version {
		return Frame{}, fault.New(fault.BadInput, "run the same release on all daemons", "frame has protocol version %d, want %d", head[4], Version)
	}
	f := Frame{Flags: head[5], Type: Type(binary.BigEndian.Uint16(head[6:])), CallID: binary.BigEndian.Uint64(head[8:])}
	f.Body = make([]byte, size)
	if _, err := io.ReadFull(r, f.Body); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return Frame{}, err
	}
	return f, nil
}

// Marshal encodes v for a frame body or a log record.
func Marshal(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "report this with the daemon's log", "encode %T", v)
	}
	return b, nil
}

// Unmarshal decodes b into v, which must be a pointer. It returns an error for
// input on which the decoder panics, such as nil in place of a time. Otherwise a
// corrupt log record would crash every daemon that reads it.
func Unmarshal(b []byte, v any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = decodeError(fmt.Errorf("decoder panic: %v", r), v)
		}
	}()
	if err := msgpack.Unmarshal(b, v); err != nil {
		return decodeError(err, v)
	}
	return nil
}

func decodeError(err error, v any) error {
	return fault.Wrap(fault.BadInput, err, "run the same release on all daemons", "decode %T", v)
}
