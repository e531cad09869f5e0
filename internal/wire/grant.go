package wire

import (
	"github.com/ragwortquay/ragwortquay/internal/limit"
	"github.com/ragwortquay/ragwortquay/internal/suspect"
)

// Types of the messages of package grant. The home of a pool is the daemon that
// decides on its grants, the holder of a grant the daemon that requested it.
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
	TypeCrashReport
	TypeWitnessUpdate
)

// Acquire requests a grant from a pool's home. The home sends the
// AcquireResponse when it has decided.
type Acquire struct {
	Slice int `msgpack:"s,omitempty"`
	// Term is the latest tenure that the holder knows. The holder rejects grants of
	// earlier tenures, so a home whose own term is earlier starts a new tenure.
	Term    string        `msgpack:"t,omitempty"`
	Request limit.Request `msgpack:"r"`
}

// WireType returns TypeAcquire.
func (*Acquire) WireType() Type { return TypeAcquire }

// AcquireResponse has a grant, a refusal, or NotHome with another home.
type AcquireResponse struct {
	Grant   *limit.Grant `msgpack:"g,omitempty"`
	Refused *Error       `msgpack:"e,omitempty"`
	// NotHome means that the daemon asked is not the home; Home names the home, if
	// known to it.
	NotHome bool   `msgpack:"m,omitempty"`
	Home    string `msgpack:"h,omitempty"`
	// Slices is the number of slices of the pool, QueueLength the number of
	// requests queued for this slice.
	Slices      int `msgpack:"n,omitempty"`
	QueueLength int `msgpack:"w,omitempty"`
}

// WireType returns TypeAcquireResponse.
func (*AcquireResponse) WireType() Type { return TypeAcquireResponse }

// Cancel withdraws a request that is no longer needed.
type Cancel struct {
	Pool    string `msgpack:"p"`
	Slice   int    `msgpack:"s,omitempty"`
	Request string `msgpack:"r"`
}

// WireType returns TypeCancel.
func (*Cancel) WireType() Type { return TypeCancel }

// Release gives back grants of one pool.
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

// RenewResponse lists, for each renewal with grants that the home does not know,
// the tenure to which the holder must report its holdings.
type RenewResponse struct {
	Unknown []Tenure `msgpack:"u,omitempty"`
}

// WireType returns TypeRenewResponse.
func (*RenewResponse) WireType() Type { return TypeRenewResponse }

// Tenure identifies a daemon's time as the home of one slice of a pool.
type Tenure struct {
	Pool  string `msgpack:"p"`
	Slice int    `msgpack:"s,omitempty"`
	Term  string `msgpack:"t"`
}

// Takeover announces a pool's new home to a daemon, which responds with its
// Holdings.
type Takeover struct {
	Pool  string `msgpack:"p"`
	Slice int    `msgpack:"s,omitempty"`
	Home  string `msgpack:"h"`
	Term  string `msgpack:"t"`
}

// WireType returns TypeTakeover.
func (*Takeover) WireType() Type { return TypeTakeover }

// Holdings lists what a daemon holds of a pool. Snapshot is set by the previous
// home. If the daemon knows a later tenure, it returns LaterHome and LaterTerm
// instead.
type Holdings struct {
	Pool      string          `msgpack:"p"`
	Slice     int             `msgpack:"s,omitempty"`
	Held      limit.Holdings  `msgpack:"h"`
	Snapshot  *limit.Snapshot `msgpack:"t,omitempty"`
	LaterHome string          `msgpack:"lh,omitempty"`
	LaterTerm string          `msgpack:"lt,omitempty"`
}

// WireType returns TypeHoldings.
func (*Holdings) WireType() Type { return TypeHoldings }

// Handover asks a daemon to take over a pool from the sender, whose tenure is
// Term.
type Handover struct {
	Pool  string `msgpack:"p"`
	Slice int    `msgpack:"s,omitempty"`
	Term  string `msgpack:"t"`
}

// WireType returns TypeHandover.
func (*Handover) WireType() Type { return TypeHandover }

// WitnessUpdate asks a daemon to record grants, as their witness, that the sender
// made to holders in its own failure domain, and to drop those that have ended.
type WitnessUpdate struct {
	Pool   string        `msgpack:"p"`
	Slice  int           `msgpack:"s,omitempty"`
	Home   string        `msgpack:"h"`
	Term   string        `msgpack:"t"`
	Grants []limit.Grant `msgpack:"g,omitempty"`
	Ended  []string      `msgpack:"e,omitempty"`
}

// WireType returns TypeWitnessUpdate.
func (*WitnessUpdate) WireType() Type { return TypeWitnessUpdate }

// CrashReport reports a crash and the requests that the sender ran on the replica.
type CrashReport struct {
	Crash suspect.Crash `msgpack:"c"`
}

// WireType returns TypeCrashReport.
func (*CrashReport) WireType() Type { return TypeCrashReport }

// Ack is the response to a message that returns nothing.
type Ack struct{}

// WireType returns TypeAck.
func (*Ack) WireType() Type { return TypeAck }
