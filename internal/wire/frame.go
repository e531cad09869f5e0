// Package wire is the inner protocol: the frames, message types, versions and
// size limits that daemons use among themselves, and the encoding of what they
// keep in the platform's log. It holds no decisions and opens no connections.
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
	// MaxFrameBytes bounds the body of a frame.
	MaxFrameBytes = 8 << 20
	// MaxDatagramBytes bounds a membership datagram, below common path MTUs.
	MaxDatagramBytes = 1400
	// headerBytes is length (4), version (1), flags (1), type (2), call (8).
	headerBytes = 16
)

// Flag bits of a frame.
const (
	// FlagResponse marks an answer.
	FlagResponse = 1 << iota
	// FlagError marks an answer whose body is an Error message.
	FlagError
)

// Type identifies a message. Each concern has a range of its own; a type is
// never given a second meaning.
type Type uint16

// Message is a typed message of the inner protocol.
type Message interface {
	// WireType returns the message's type.
	WireType() Type
}

// Frame is one message on a connection.
type Frame struct {
	Flags uint8
	Type  Type
	// CallID pairs an answer with its question on one connection.
	CallID uint64
	Body   []byte
}

// WriteFrame writes f to w in one Write call.
func WriteFrame(w io.Writer, f Frame) error {
	if len(f.Body) > MaxFrameBytes {
		return fault.New(fault.TooLarge, "send less in one message", "frame of %d bytes exceeds %d", len(f.Body), MaxFrameBytes)
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

// ReadFrame reads one frame. A clean end of the connection is io.EOF; a frame
// cut short is io.ErrUnexpectedEOF.
func ReadFrame(r io.Reader) (Frame, error) { return ReadFrameLimit(r, MaxFrameBytes) }

// ReadFrameLimit is ReadFrame with a smaller bound on the body, for peers that
// have not yet proved who they are.
func ReadFrameLimit(r io.Reader, limit int) (Frame, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Frame{}, err
	}
	size := binary.BigEndian.Uint32(head[0:])
	if uint64(size) > uint64(limit) {
		return Frame{}, fault.New(fault.TooLarge, "check that the peer speaks this protocol", "frame of %d bytes exceeds %d", size, limit)
	}
	if head[4] != Version {
		return Frame{}, fault.New(fault.BadInput, "run the same release on all daemons", "protocol version %d, want %d", head[4], Version)
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

// Marshal encodes v as a frame body or log record.
func Marshal(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "report this with the daemon's log", "encode %T", v)
	}
	return b, nil
}

// Unmarshal decodes b into v, which must be a pointer. Bytes that the library
// panics on (nil in place of a time, for one) are an error like any other: a
// garbled record of the log must not end every daemon that reads it.
func Unmarshal(b []byte, v any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = undecodable(fmt.Errorf("decoder panic: %v", r), v)
		}
	}()
	if err := msgpack.Unmarshal(b, v); err != nil {
		return undecodable(err, v)
	}
	return nil
}

func undecodable(err error, v any) error {
	return fault.Wrap(fault.BadInput, err, "run the same release on all daemons", "decode %T", v)
}
