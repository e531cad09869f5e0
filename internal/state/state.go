// Package state implements the replicated state machine of the control stream,
// which holds routes, pools, groups and daemons. The state is a deterministic
// function of the records and their positions, so all daemons reach the same
// state and the same verdict on each record. The package performs no I/O and no
// encoding.
package state

import (
	"maps"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/table"
)

// Stamp describes the accepted record that last wrote a row.
type Stamp struct {
	// Revision is the number of accepted writes of the row, starting at 1.
	Revision uint64
	Author   string
	At       time.Time
	Pos      Position
}

// RouteRow is a route with its stamp.
type RouteRow struct {
	Route table.Route
	Stamp Stamp
}

// PoolRow is a pool with its stamp.
type PoolRow struct {
	Pool  table.Pool
	Stamp Stamp
}

// Group is an active replica group.
type Group struct {
	// ID is the group's fencing token.
	ID      uint64
	Pool    string
	Model   string
	Version string
	Members []Member
	Author  string
	At      time.Time
}

// Reservation assigns a VM to a group, which is active or has ended.
type Reservation struct {
	Group uint64
	Pool  string
	// Ended means that the group was retired or replaced and the VM is not
	// released yet.
	Ended bool
}

// Daemon is a daemon that has joined and is counted when a majority is computed.
type Daemon struct {
	ID            string
	Addr          string
	FailureDomain string
	BootID        string
	// Pos is the position of the daemon's Join record.
	Pos Position
}

// Verdict is the result of applying a record: accepted or refused.
type Verdict struct {
	Pos      Position
	RecordID string
	Accepted bool
	// Duplicate means that a record with the same id was applied at an earlier
	// position; the verdict is that of the earlier position.
	Duplicate bool
	// Reason is the reason for a refusal; empty for an accepted record.
	Reason string
	// Winner is the stamp of the concurrent write that made an edit stale; zero
	// if the edit was not refused for its base revision.
	Winner Stamp
}

// State is the control state after all records up to and including Pos. It is
// not safe for concurrent use; package view provides concurrent access.
type State struct {
	Pos Position
	// Started is false until the first record is applied; Pos is zero until
	// then.
	Started bool
	Routes  map[string]RouteRow
	Pools   map[string]PoolRow
	Groups  map[uint64]Group
	VMs     map[string]Reservation
	Daemons map[string]Daemon
	// Revisions holds the last revision of each row, also of deleted ones, so
	// that a recreated row does not reuse a revision. Keys are "route/NAME" and
	// "pool/NAME".
	Revisions map[string]uint64
	// Recent holds the verdicts on the last records, oldest first, to recognise
	// duplicates.
	Recent []Verdict
	// Opened is the highest open epoch. Records of a later epoch are refused
	// until its Open record is accepted.
	Opened uint32
	// Base is the last position before the epoch of Pos.
	Base Position
	// History is a hash chain over all verdicts so far.
	History uint64
	// recentByID indexes Recent by record id; nil until it is needed.
	recentByID map[string]Verdict
}

// MaxRecentVerdicts is the maximum number of verdicts that are kept to recognise
// duplicate appends.
const MaxRecentVerdicts = 4096

// FirstEpoch is the epoch of a log that was never recreated. It is open from the
// start and needs no Open record.
const FirstEpoch = 1

// New returns an empty state.
func New() *State {
	return &State{
		Opened:    FirstEpoch,
		Routes:    make(map[string]RouteRow),
		Pools:     make(map[string]PoolRow),
		Groups:    make(map[uint64]Group),
		VMs:       make(map[string]Reservation),
		Daemons:   make(map[string]Daemon),
		Revisions: make(map[string]uint64),
	}
}

// InitMaps replaces maps that a decoder left nil by empty ones, so that Apply
// can write to them.
func (s *State) InitMaps() {
	empty := New()
	s.Routes = mapOrDefault(s.Routes, empty.Routes)
	s.Pools = mapOrDefault(s.Pools, empty.Pools)
	s.Groups = mapOrDefault(s.Groups, empty.Groups)
	s.VMs = mapOrDefault(s.VMs, empty.VMs)
	s.Daemons = mapOrDefault(s.Daemons, empty.Daemons)
	s.Revisions = mapOrDefault(s.Revisions, empty.Revisions)
}

func mapOrDefault[M ~map[K]V, K comparable, V any](m, fallback M) M {
	if m == nil {
		return fallback
	}
	return m
}

// Clone returns a copy that shares no maps with s. The slices inside rows are
// shared, because rows are never modified in place.
func (s *State) Clone() *State {
	c := *s
	c.Routes = maps.Clone(s.Routes)
	c.Pools = maps.Clone(s.Pools)
	c.Groups = maps.Clone(s.Groups)
	c.VMs = maps.Clone(s.VMs)
	c.Daemons = maps.Clone(s.Daemons)
	c.Revisions = maps.Clone(s.Revisions)
	c.Recent = slices.Clone(s.Recent)
	c.recentByID = nil
	return &c
}

// Next returns the lowest position at which the next record is expected.
func (s *State) Next() Position {
	if !s.Started {
		return s.Pos
	}
	return Position{Epoch: s.Pos.Epoch, Offset: s.Pos.Offset + 1}
}
