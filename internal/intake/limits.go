// Package intake decides for which request bodies a daemon has memory, and how many
// connections of callers it keeps. It addresses clients that send many large bodies at
// once, declared or in chunks, or stop short of their end and stay connected. It does
// no I/O and has no clock.
package intake

const (
	// bodyFraction is the fraction of the machine's memory for request bodies. Of the
	// rest, a tenth of the memory is for buffered responses, connectionFraction for
	// connections with their parsed heads, waitingFraction for the socket buffers of
	// bodies that wait unread; a process at rest has 20 MB.
	bodyFraction = 0.2
	// reservedFraction is the fraction of the room that only small bodies may take.
	reservedFraction = 0.25
	// waitingFraction is the fraction of the machine's memory for the socket buffers of
	// the bodies of one class that wait unread.
	waitingFraction = 0.1
	// connectionFraction is the fraction of the machine's memory for connections of
	// callers. Each is taken to need connectionBytes: 870 connections with heads of
	// 16 KiB, the published limit, took 76 KB each, garbage included.
	connectionFraction = 0.2
	connectionBytes    = 64 << 10
	// descriptorFraction is the fraction of the descriptors for callers. Each running
	// request needs as many again for its engine; the rest is for the probes of
	// engines, the store and the other daemons.
	descriptorFraction = 0.4
	// defaultMemory is assumed if the machine's memory is unknown.
	defaultMemory = 512 << 20

	// SocketBuffer is the size of the receive buffer of a caller's connection, of which
	// the kernel takes twice as much. It is a window that carries 350 Mbit/s at a round
	// trip of 3 ms; without a bound the kernel grows it to several MB.
	SocketBuffer = 128 << 10
	// SmallBody is the largest declared length of a small body.
	SmallBody = 64 << 10
	// smallChunkedBody is the largest capacity at which a chunked body, whose length is
	// unknown, counts as small. It is lower than SmallBody, so that a crowd of large
	// chunked bodies takes little of the reserve before it counts as large.
	smallChunkedBody = 16 << 10
	// firstChunkedCapacity is the capacity with which a chunked body starts.
	firstChunkedCapacity = 4 << 10
)

// Class divides bodies into small ones, for which a part of the room is reserved, and
// large ones.
type Class uint8

// The classes.
const (
	Small Class = iota
	Large
	classes = 2
)

// String returns the name of the class as it appears in metrics.
func (c Class) String() string {
	if c == Small {
		return "small"
	}
	return "large"
}

// ClassOf returns the class of a body with a declared length.
func ClassOf(length int64) Class {
	if length <= SmallBody {
		return Small
	}
	return Large
}

// ClassOfChunked returns the class of a chunked body with the given capacity.
func ClassOfChunked(capacity int64) Class {
	if capacity <= smallChunkedBody {
		return Small
	}
	return Large
}

// NextCapacity returns the capacity with which a chunked body starts, if the given one
// is 0, or to which it grows. limit is the largest legal length of a body.
func NextCapacity(capacity, limit int64) int64 {
	return min(max(firstChunkedCapacity, 2*capacity), limit)
}

// Limits bound what a daemon holds for request bodies.
type Limits struct {
	// Bytes is the room for bodies. Large ones may not take the last Reserved bytes.
	Bytes, Reserved int64
	// Waiting is how many bodies of each class may wait unread.
	Waiting int
}

// LimitsFor returns the limits of a machine with the given memory in bytes, or 0 if that
// is unknown.
func LimitsFor(memory int64) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	bytes := int64(bodyFraction * float64(memory))
	return Limits{
		Bytes: bytes, Reserved: int64(reservedFraction * float64(bytes)),
		Waiting: max(1, int(waitingFraction*float64(memory)/(2*SocketBuffer))),
	}
}

// MaxConnections returns how many connections callers may have on a machine with the
// given memory and descriptors, each 0 if unlimited or unknown. It returns 0 if neither
// is known.
func MaxConnections(memory int64, descriptors int) int {
	byMemory := int(connectionFraction * float64(memory) / connectionBytes)
	byDescriptors := int(descriptorFraction * float64(descriptors))
	switch {
	case memory <= 0:
		return byDescriptors
	case descriptors <= 0:
		return byMemory
	}
	return min(byMemory, byDescriptors)
}
