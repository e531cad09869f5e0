// Package traffic counts the bytes that a daemon exchanges with engines, other daemons
// and the store, by cause and by whether the other side is in the daemon's zone. It
// performs no I/O.
package traffic

import "sync/atomic"

// Cause is the reason for which bytes are exchanged.
type Cause string

// The causes apart from datagrams.
const (
	// Request and Answer are the exchanges with engines on behalf of callers, heads and
	// failed attempts included.
	Request Cause = "request"
	Answer  Cause = "answer"
	// ControlRequest and ControlAnswer are reports of engines, orders to them and health
	// checks.
	ControlRequest Cause = "control_request"
	ControlAnswer  Cause = "control_answer"
	// StoreRequest and StoreAnswer are calls of the store.
	StoreRequest Cause = "store_request"
	StoreAnswer  Cause = "store_answer"
)

// datagramPrefix begins the causes of datagrams.
const datagramPrefix = "datagram_"

// Datagram returns the cause of datagrams of the given kind, which are counted by the
// sender, without the headers of IP and UDP.
func Datagram(kind string) Cause { return Cause(datagramPrefix + kind) }

// Zone says where the other side of an exchange is.
type Zone int

// The zones.
const (
	// Unknown is also the zone of the store, which has none.
	Unknown Zone = iota
	Own
	Other
	zones
)

var zoneNames = [zones]string{"unknown", "own", "other"}

// String returns the name of the zone in logs and metrics.
func (z Zone) String() string { return zoneNames[z] }

// Compare returns the zone of the other side of an exchange, as seen from own. Empty
// names are unknown.
func Compare(own, other string) Zone {
	switch {
	case own == "" || other == "":
		return Unknown
	case own == other:
		return Own
	default:
		return Other
	}
}

// Sum is the sum of the exchanges of one cause with one zone.
type Sum struct {
	Cause Cause
	Zone  Zone
	// Bytes is the number of bytes, Writes that of datagrams, or of writes to and reads
	// from connections.
	Bytes, Writes int64
}

// Counts holds the sums by cause and zone. It is safe for concurrent use: each sum is
// counted on its own, and the set of sums does not change.
type Counts struct {
	order []Cause
	sums  map[Cause]*[zones]counter
	// onAdd, if not nil, is called for each addition.
	onAdd func(c Cause, z Zone, bytes int64)
}

type counter struct{ bytes, writes atomic.Int64 }

// New returns counts of the causes above, and of datagrams of the given kinds. onAdd, if
// not nil, is called for each addition.
func New(datagramKinds []string, onAdd func(c Cause, z Zone, bytes int64)) *Counts {
	n := &Counts{
		order: []Cause{Request, Answer, ControlRequest, ControlAnswer, StoreRequest, StoreAnswer},
		sums:  map[Cause]*[zones]counter{}, onAdd: onAdd,
	}
	for _, kind := range datagramKinds {
		n.order = append(n.order, Datagram(kind))
	}
	for _, c := range n.order {
		n.sums[c] = &[zones]counter{}
	}
	return n
}

// Add counts one write or read. Causes that are not known to New are not counted.
func (n *Counts) Add(c Cause, z Zone, bytes int) {
	sum, ok := n.sums[c]
	if !ok || bytes <= 0 {
		return
	}
	sum[z].bytes.Add(int64(bytes))
	sum[z].writes.Add(1)
	if n.onAdd != nil {
		n.onAdd(c, z, int64(bytes))
	}
}

// Sums returns the sums that are not zero, in an order that does not change.
func (n *Counts) Sums() []Sum {
	var out []Sum
	for _, c := range n.order {
		for z := range n.sums[c] {
			s := Sum{c, Zone(z), n.sums[c][z].bytes.Load(), n.sums[c][z].writes.Load()}
			if s.Writes > 0 {
				out = append(out, s)
			}
		}
	}
	return out
}
