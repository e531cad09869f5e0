package wire

import (
	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/retry"
)

// Grant message types.
const (
	TypeAcquire Type = baseGrant + iota
	TypeAcquireResponse
	TypeCancel
	TypeRelease
	TypeRenew
	TypeRenewResponse
	TypeTakeover
	TypeHoldings
	TypeHandover
	TypeAck
	TypeQuarantine
	TypeWitnessUpdate
)

// Acquire asks a pool's home for a grant. The answer, Acquired, comes when the
// home has decided.
type Acquire struct {
	Slice int `msgpack:"s,omitempty"`
	// Term is the latest tenure that the holder knows; it accepts no grant of
	// an earlier one.
	Term    string        `msgpack:"t,omitempty"`
	Request limit.Request `msgpack:"r"`
}

// WireType returns TypeAcquire.
func (*Acquire) WireType() Type { return TypeAcquire }

// AcquireResponse answers Acquire with one of a grant, a refusal, or another home.
type AcquireResponse struct {
	Grant   *limit.Grant `msgpack:"g,omitempty"`
	Refused *Error       `msgpack:"e,omitempty"`
	// NotHome means that this daemon is not the home; Home, if set, is.
	NotHome bool   `msgpack:"m,omitempty"`
	Home    string `msgpack:"h,omitempty"`
	// Slices is the number of slices of the pool, Waiting the length of this
	// one's queue.
	Slices      int `msgpack:"n,omitempty"`
	QueueLength int `msgpack:"w,omitempty"`
}

// WireType returns TypeAcquired.
func (*AcquireResponse) WireType() Type { return TypeAcquireResponse }

// Cancel withdraws a request whose answer is no longer wanted.
type Cancel struct {
	Pool    string `msgpack:"p"`
	Slice   int    `msgpack:"s,omitempty"`
	Request string `msgpack:"r"`
}

// WireType returns TypeCancel.
func (*Cancel) WireType() Type { return TypeCancel }

// Release gives grants of one pool back.
type Release struct {
	Pool     string          `msgpack:"p"`
	Slice    int             `msgpack:"s,omitempty"`
	Releases []limit.Release `msgpack:"l"`
}

// WireType returns TypeRelease.
func (*Release) WireType() Type { return TypeRelease }

// Renew extends all grants that a holder has from one home.
type Renew struct {
	Renewals []limit.Renewal `msgpack:"r"`
}

// WireType returns TypeRenew.
func (*Renew) WireType() Type { return TypeRenew }

// RenewResponse answers Renew: for each renewal that names grants which the home
// does not have, the tenure to tell them to.
type RenewResponse struct {
	Unknown []Tenure `msgpack:"u,omitempty"`
}

// WireType returns TypeRenewed.
func (*RenewResponse) WireType() Type { return TypeRenewResponse }

// Tenure names a daemon's time as the home of one slice of a pool.
type Tenure struct {
	Pool  string `msgpack:"p"`
	Slice int    `msgpack:"s,omitempty"`
	Term  string `msgpack:"t"`
}

// Takeover announces a pool's new home to a daemon and asks what it holds. The
// answer is Holdings.
type Takeover struct {
	Pool  string `msgpack:"p"`
	Slice int    `msgpack:"s,omitempty"`
	Home  string `msgpack:"h"`
	Term  string `msgpack:"t"`
}

// WireType returns TypeTakeover.
func (*Takeover) WireType() Type { return TypeTakeover }

// Holdings is what a daemon holds of a pool; Table is set by the home before.
// If the daemon knows of a later tenure it names that one instead.
type Holdings struct {
	Pool      string          `msgpack:"p"`
	Slice     int             `msgpack:"s,omitempty"`
	Held      limit.Holdings  `msgpack:"h"`
	Table     *limit.Snapshot `msgpack:"t,omitempty"`
	LaterHome string          `msgpack:"lh,omitempty"`
	LaterTerm string          `msgpack:"lt,omitempty"`
}

// WireType returns TypeHoldings.
func (*Holdings) WireType() Type { return TypeHoldings }

// Handover asks a daemon to take over a pool from the sender, whose tenure
// Term names.
type Handover struct {
	Pool  string `msgpack:"p"`
	Slice int    `msgpack:"s,omitempty"`
	Term  string `msgpack:"t"`
}

// WireType returns TypeHandover.
func (*Handover) WireType() Type { return TypeHandover }

// WitnessUpdate asks a daemon to remember grants that the sender made to holders in its
// own failure domain, and to forget those that ended.
type WitnessUpdate struct {
	Pool   string        `msgpack:"p"`
	Slice  int           `msgpack:"s,omitempty"`
	Home   string        `msgpack:"h"`
	Term   string        `msgpack:"t"`
	Grants []limit.Grant `msgpack:"g,omitempty"`
	Ended  []string      `msgpack:"e,omitempty"`
}

// WireType returns TypeNote.
func (*WitnessUpdate) WireType() Type { return TypeWitnessUpdate }

// Quarantine tells a daemon of a crash and what the sender ran on the replica.
type Quarantine struct {
	Crash retry.Crash `msgpack:"c"`
}

// WireType returns TypeQuarantine.
func (*Quarantine) WireType() Type { return TypeQuarantine }

// Ack answers a grant message that has no result.
type Ack struct{}

// WireType returns TypeDone.
func (*Ack) WireType() Type { return TypeAck }
