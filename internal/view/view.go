// Package view publishes the folded control state to all readers. Readers take
// rows from sharded maps and never wait for the fold; one lock orders the
// writers. A view moves only forward. The package does no I/O and decides
// nothing: the fold itself is in package state.
package view

import (
	"cmp"
	"slices"
	"strconv"
	"sync"

	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/state"
)

// View is the folded control state, safe for concurrent use.
type View struct {
	routes   *shard.Map[state.RouteRow]
	pools    *shard.Map[state.PoolRow]
	groups   *shard.Map[state.Group]
	byPool   *shard.Map[[]state.Group]
	vms      *shard.Map[state.Reservation]
	daemons  *shard.Map[state.Daemon]
	verdicts *shard.Map[state.Verdict]
	changed  signal

	// fold orders the writers; only they take it, and those who copy the whole state.
	fold    sync.Mutex
	state   *state.State
	decided []string // record ids in verdicts, oldest first
	digest  uint64   // of state at digestAt
	// digestAt is the position that digest belongs to; digestOK says whether one was made.
	digestAt state.Position
	digestOK bool

	head head
}

// New returns an empty view.
func New() *View {
	return &View{
		routes:   shard.NewMap[state.RouteRow](),
		pools:    shard.NewMap[state.PoolRow](),
		groups:   shard.NewMap[state.Group](),
		byPool:   shard.NewMap[[]state.Group](),
		vms:      shard.NewMap[state.Reservation](),
		daemons:  shard.NewMap[state.Daemon](),
		verdicts: shard.NewMap[state.Verdict](),
		state:    state.New(),
	}
}

// Route returns the route that serves kind for workspace.
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

// Pools returns all pools by name.
func (v *View) Pools() []state.PoolRow {
	return collect(v.pools, func(a, b state.PoolRow) int { return cmp.Compare(a.Pool.Name, b.Pool.Name) })
}

// Routes returns all routes by name.
func (v *View) Routes() []state.RouteRow {
	return collect(v.routes, func(a, b state.RouteRow) int { return cmp.Compare(a.Route.Name, b.Route.Name) })
}

// Groups returns the pool's groups in force, oldest first. The slice is shared:
// it must not be changed.
func (v *View) Groups(pool string) []state.Group {
	groups, _ := v.byPool.Get(pool)
	return groups
}

// Group returns the group in force with the given fencing number.
func (v *View) Group(id uint64) (state.Group, bool) { return v.groups.Get(groupKey(id)) }

// Reservation returns what holds the VM, if anything does.
func (v *View) Reservation(vm string) (state.Reservation, bool) { return v.vms.Get(vm) }

// Reservations returns the VMs that are held for the pool.
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

// Daemons returns the joined daemons by id.
func (v *View) Daemons() []state.Daemon {
	return collect(v.daemons, func(a, b state.Daemon) int { return cmp.Compare(a.ID, b.ID) })
}

// Daemon returns the joined daemon with the given id.
func (v *View) Daemon(id string) (state.Daemon, bool) { return v.daemons.Get(id) }

// Position returns the position of the last folded record.
func (v *View) Position() state.Position {
	pos, _ := v.head.get()
	return pos
}

// Next returns the position after which the next record is expected.
func (v *View) Next() state.Position {
	pos, started := v.head.get()
	if !started {
		return pos
	}
	return state.Position{Epoch: pos.Epoch, Offset: pos.Offset + 1}
}

// Started reports whether any record was folded or any snapshot loaded.
func (v *View) Started() bool {
	_, started := v.head.get()
	return started
}

// Digest returns the hash of the whole state at Position.
func (v *View) Digest() uint64 {
	_, digest := v.PositionAndDigest()
	return digest
}

// PositionAndDigest returns a position and the digest of the state at that position.
func (v *View) PositionAndDigest() (state.Position, uint64) {
	v.fold.Lock()
	defer v.fold.Unlock()
	if !v.digestOK || v.digestAt != v.state.Pos {
		v.digest, v.digestAt, v.digestOK = v.state.Digest(), v.state.Pos, true
	}
	return v.state.Pos, v.digest
}

// OpenEpoch returns the epoch whose records count, and the last position before
// the epoch of Position.
func (v *View) OpenEpoch() (epoch uint32, base state.Position) {
	v.fold.Lock()
	defer v.fold.Unlock()
	return v.state.Opened, v.state.Base
}

// Snapshot returns a copy of the whole state.
func (v *View) Snapshot() *state.State {
	v.fold.Lock()
	defer v.fold.Unlock()
	return v.state.Clone()
}

func groupKey(id uint64) string { return strconv.FormatUint(id, 10) }

func collect[V any](m *shard.Map[V], order func(a, b V) int) []V {
	out := make([]V, 0, m.Len())
	m.Range(func(_ string, item V) bool {
		out = append(out, item)
		return true
	})
	slices.SortFunc(out, order)
	return out
}
