package state

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

// Position is the position of a record in the control stream: the epoch of the
// log and the offset within the epoch. Positions are totally ordered.
type Position struct {
	Epoch  uint32
	Offset uint64
}

// Before reports whether p comes before o.
func (p Position) Before(o Position) bool {
	if p.Epoch != o.Epoch {
		return p.Epoch < o.Epoch
	}
	return p.Offset < o.Offset
}

// String formats the position as epoch/offset.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Epoch, p.Offset) }

// ParsePosition parses a position in the format of String.
func ParsePosition(text string) (Position, error) {
	epoch, offset, _ := strings.Cut(text, "/")
	epochNum, err := strconv.ParseUint(epoch, 10, 32)
	offsetNum, offsetErr := strconv.ParseUint(offset, 10, 64)
	if err != nil || offsetErr != nil {
		return Position{}, fault.Invalid("position", "write it as EPOCH/OFFSET, such as 1/42", "%q is not a position", text)
	}
	return Position{Epoch: uint32(epochNum), Offset: offsetNum}, nil
}

// fenceOffsetBits is the number of low bits of a fencing token that hold the
// offset; the epoch is above them.
const fenceOffsetBits = 40

// Fence returns the fencing token of a record at p. Tokens increase along the
// stream, also from one epoch to the next.
func (p Position) Fence() uint64 { return uint64(p.Epoch)<<fenceOffsetBits | p.Offset }

// Record is a record of the control stream. Exactly one of the pointers is set.
type Record struct {
	// ID is the record's unique id. A repeated append of the record has the same
	// one, so that it can be recognised as a duplicate.
	ID string
	// Author is the operator or daemon that wrote the record.
	Author string
	// At is the time of writing by the author's clock. It is informational: no
	// decision depends on it.
	At time.Time

	Edit    *Edit
	Form    *Form
	Retire  *Retire
	Release *Release
	Join    *Join
	Leave   *Leave
	Open    *Open
}

// Edit changes rows of the two tables atomically: all of its changes take
// effect, or none.
type Edit struct {
	Changes []Change
	// Note is the operator's reason, shown in the audit.
	Note string
}

// Change sets or deletes one row. Exactly one of the row fields is set.
type Change struct {
	// Base is the revision that the change is based on; 0 means that the row
	// does not exist.
	Base uint64
	// SetRoute and SetPool are the new content of a row.
	SetRoute *table.Route
	SetPool  *table.Pool
	// DropRoute and DropPool are the name of a row to delete.
	DropRoute string
	DropPool  string
}

// RowNames returns the name of the route or of the pool that the change sets or
// deletes; the other name is empty.
func (c Change) RowNames() (route, pool string) {
	switch {
	case c.SetRoute != nil:
		return c.SetRoute.Name, ""
	case c.SetPool != nil:
		return "", c.SetPool.Name
	default:
		return c.DropRoute, c.DropPool
	}
}

// Form creates a replica group. The fencing token of the record's position is
// the group's id.
type Form struct {
	Pool    string
	Model   string
	Version string
	// Members are in rank order; the first one is the leader.
	Members []Member
	// Replaces lists the groups that end with this record. Those of their VMs
	// that are not members of the new group stay reserved until a Release.
	Replaces []uint64
	// Reason is the reason for the new group, shown in the audit.
	Reason string
}

// Member is a VM of a group, as observed by the author of the Form.
type Member struct {
	VM            string
	BootID        string
	FailureDomain string
	FabricDomain  string
}

// Retire ends a group. Its VMs stay reserved until a Release.
type Retire struct {
	Group  uint64
	Reason string
}

// Release frees a VM that is reserved for an ended group.
type Release struct {
	VM string
	// Fence is the fencing token of the ended group.
	Fence uint64
	// Evidence describes how the author knows that the VM no longer serves the
	// group.
	Evidence string
}

// Join adds a daemon to the members that a majority is computed from.
type Join struct {
	Daemon        string
	Addr          string
	FailureDomain string
	BootID        string
}

// Leave removes a daemon from the members that a majority is computed from.
type Leave struct {
	Daemon string
	// BootID identifies the incarnation that leaves. A Leave of an earlier
	// incarnation does not undo a later Join.
	BootID string
	Reason string
}

// Open opens an epoch: records of the epoch that precede it are refused. It
// identifies the state that the epoch is based on, because the records of
// earlier epochs are lost with the old log and daemons may have read different
// numbers of them.
type Open struct {
	// Base is the last position applied before the epoch; zero for no state.
	Base Position
	// Digest is the digest of the state at Base.
	Digest uint64
}
