package state

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/table"
)

// Position is a place in the control stream: the log's epoch and the offset
// within it. Positions are totally ordered.
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

// ParsePosition reads a position as String formats it.
func ParsePosition(text string) (Position, error) {
	epoch, offset, _ := strings.Cut(text, "/")
	e, err := strconv.ParseUint(epoch, 10, 32)
	o, err2 := strconv.ParseUint(offset, 10, 64)
	if err != nil || err2 != nil {
		return Position{}, fault.Invalid("position", "write it as EPOCH/OFFSET, such as 1/42", "%q is not a position", text)
	}
	return Position{Epoch: uint32(e), Offset: o}, nil
}

const fenceOffsetBits = 40

// Fence returns the fencing number of a record at p: it grows along the
// stream, also across epochs.
func (p Position) Fence() uint64 { return uint64(p.Epoch)<<fenceOffsetBits | p.Offset }

// Record is one entry of the control stream. Exactly one of the pointers is set.
type Record struct {
	// ID identifies the record: a duplicated append carries the same one.
	ID string
	// Author is the operator or daemon that wrote the record.
	Author string
	// At is the author's clock at the time of writing; for people only.
	At time.Time

	Edit    *Edit
	Form    *Form
	Retire  *Retire
	Release *Release
	Join    *Join
	Leave   *Leave
	Open    *Open
}

// Edit changes rows of both tables: all of its changes take effect, or none.
type Edit struct {
	Changes []Change
	// Note is the operator's reason, kept for the audit.
	Note string
}

// Change sets or deletes one row. Exactly one of the row fields is set.
type Change struct {
	// Base is the revision that the operator saw; 0 means "no such row".
	Base uint64
	// SetRoute and SetPool carry a new row.
	SetRoute *table.Route
	SetPool  *table.Pool
	// DropRoute and DropPool name a row to delete.
	DropRoute string
	DropPool  string
}

// RowNames returns the names of the route and of the pool that the change is
// about; one of them is empty.
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

// Form makes one replica group. Its position is the group's fencing number.
type Form struct {
	Pool    string
	Model   string
	Version string
	// Members are in rank order; the first one leads.
	Members []Member
	// Replaces are groups that end with this record; their VMs that are not
	// members of the new group stay reserved until a Release.
	Replaces []uint64
	// Reason says why, for the audit.
	Reason string
}

// Member is one VM of a group as its proposer saw it.
type Member struct {
	VM            string
	BootID        string
	FailureDomain string
	FabricDomain  string
}

// Retire ends a group; its VMs stay reserved until they are released.
type Retire struct {
	Group  uint64
	Reason string
}

// Release returns one VM of an ended group to the free ones.
type Release struct {
	VM string
	// Fence is the reservation that ends: the ended group's number.
	Fence uint64
	// Evidence says how the author knows that the VM no longer serves it.
	Evidence string
}

// Join adds a daemon to those that count for a majority.
type Join struct {
	Daemon        string
	Addr          string
	FailureDomain string
	BootID        string
}

// Leave removes a daemon from those that count for a majority.
type Leave struct {
	Daemon string
	// BootID is the incarnation that leaves; a later Join is not undone.
	BootID string
	Reason string
}

// Open is the first record of an epoch that counts: it names the state that the
// epoch builds on. The records of the epochs before are gone with the old log,
// and daemons may have read different numbers of them.
type Open struct {
	// Base is the last position folded before the epoch; zero for no state.
	Base Position
	// Digest is the digest of the state at Base.
	Digest uint64
}
