// Package view gives concurrent readers access to the control state. Readers get
// rows from sharded maps and never wait for a record to be applied; one lock
// serialises the writers. The position of a view only increases. The package
// performs no I/O and takes no decisions: package state implements the state
// machine.
package view

import (
	"cmp"
	"slices"
	"strconv"
	"sync"

	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// View is the control state, safe for concurrent use.
type View struct {
	routes       *shard.Map[state.RouteRow]
	pools        *shard.Map[state.PoolRow]
	groups       *shard.Map[state.Group]
	groupsByPool *shard.Map[[]state.Group]
	vms          *shard.Map[state.Reservation]
	daemons      *shard.Map[state.Daemon]
	verdicts     *shard.Map[state.Verdict]
	changed      broadcast

	// writeMu serialises the writers and guards the fields below, up to head.
	// Readers take it only for the digest, the open epoch or a copy of the state.
	writeMu    sync.Mutex
	state      *state.State
	verdictIDs []string // record ids in verdicts, oldest first
	digest     uint64   // cached digest of the state at digestPos
	// digestPos is the position of digest; digestValid is false until it is computed.
	digestPos   state.Position
	digestValid bool

	head publishedPosition
}

// New returns an empty view.
func New() *View {
	return &View{
		routes:       shard.NewMap[state.RouteRow](),
		pools:        shard.NewMap[state.PoolRow](),
		groups:       shard.NewMap[state.Group](),
		groupsByPool: shard.NewMap[[]state.Group](),
		vms:          shard.NewMap[state.Reservation](),
		daemons:      shard.NewMap[state.Daemon](),
		verdicts:     shard.NewMap[state.Verdict](),
		state:        state.New(),
	}
}

// Route returns the route with the highest precedence that matches requests of
// the given kind from the given workspace.
func (v *View) Route(workspace, kind string) (state.RouteRow, bool) {
	var best state.RouteRow
	found := false
	v.routes.Range(func(_ string, row state.RouteRow) bool {
		if !row.Route.Matches(workspace, kind) {
			return true
		}
		if !found || row.Route.Precedes(best.Route, workspace, kind) {
			best, found = row, true
		}
		return true
	})
	return best, found
}

// Pool returns the named pool.
func (v *View) Pool(name string) (state.PoolRow, bool) { return v.pools.Get(name) }

// Pools returns all pools, sorted by name.
func (v *View) Pools() []state.PoolRow {
	return sortedValues(v.pools, func(a, b state.PoolRow) int { return cmp.Compare(a.Pool.Name, b.Pool.Name) })
}

// Routes returns all routes, sorted by name.
func (v *View) Routes() []state.RouteRow {
	return sortedValues(v.routes, func(a, b state.RouteRow) int { return cmp.Compare(a.Route.Name, b.Route.Name) })
}

// Groups returns the pool's active groups, oldest first. The slice is shared and
// must not be modified.
func (v *View) Groups(pool string) []state.Group {
	groups, _ := v.groupsByPool.Get(pool)
	return groups
}

// Group returns the active group with the given fencing token.
func (v *View) Group(id uint64) (state.Group, bool) { return v.groups.Get(groupKey(id)) }

// Reservation returns the reservation of the VM, if there is one.
func (v *View) Reservation(vm string) (state.Reservation, bool) { return v.vms.Get(vm) }

// Reservations returns the reservations of the pool by VM.
func (v *View) Reservations(pool string) map[string]state.Reservation {
	out := make(map[string]state.Reservation)
	v.vms.Range(func(vm string, r state.Reservation) bool {
		if r.Pool == pool {
			out[vm] = r
		}
		return true
	})
	return out
}

// Daemons returns the joined daemons, sorted by id.
func (v *View) Daemons() []state.Daemon {
	return sortedValues(v.daemons, func(a, b state.Daemon) int { return cmp.Compare(a.ID, b.ID) })
}

// Daemon returns the joined daemon with the given id.
func (v *View) Daemon(id string) (state.Daemon, bool) { return v.daemons.Get(id) }

// Position returns the position of the last applied record.
func (v *View) Position() state.Position {
	pos, _ := v.head.get()
	return pos
}

// Next returns the lowest position at which the next record is expected.
func (v *View) Next() state.Position {
	pos, started := v.head.get()
	if !started {
		return pos
	}
	return state.Position{Epoch: pos.Epoch, Offset: pos.Offset + 1}
}

// Started reports whether a record has been applied or a snapshot loaded.
func (v *View) Started() bool {
	_, started := v.head.get()
	return started
}

// Digest returns the digest of the whole state at Position.
func (v *View) Digest() uint64 {
	_, digest := v.PositionAndDigest()
	return digest
}

// PositionAndDigest returns the position of the state and the digest at that
// position, consistent with each other.
func (v *View) PositionAndDigest() (state.Position, uint64) {
	v.writeMu.Lock()
	defer v.writeMu.Unlock()
	if !v.digestValid || v.digestPos != v.state.Pos {
		v.digest, v.digestPos, v.digestValid = v.state.Digest(), v.state.Pos, true
	}
	return v.state.Pos, v.digest
}

// OpenEpoch returns the highest open epoch, and the last position before the
// epoch of Position.
func (v *View) OpenEpoch() (epoch uint32, base state.Position) {
	v.writeMu.Lock()
	defer v.writeMu.Unlock()
	return v.state.Opened, v.state.Base
}

// Snapshot returns a copy of the whole state.
func (v *View) Snapshot() *state.State {
	v.writeMu.Lock()
	defer v.writeMu.Unlock()
	return v.state.Clone()
}

func groupKey(id uint64) string { return strconv.FormatUint(id, 10) }

// sortedValues returns the values of the map in the given order.
func sortedValues[V any](m *shard.Map[V], order func(a, b V) int) []V {
	out := make([]V, 0, m.Len())
	m.Range(func(_ string, item V) bool {
		out = append(out, item)
		return true
	})
	slices.SortFunc(out, order)
	return out
}
