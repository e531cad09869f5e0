// Package state folds the control stream: routes, pools, groups and daemons.
// The fold is a pure function of the records and their positions, so every
// reader reaches the same state and the same verdict on each record. The
// package does no I/O and knows no encoding.
package state

import (
	"maps"
	"slices"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/table"
)

// Stamp says which accepted record last wrote a row.
type Stamp struct {
	// Revision counts the row's accepted writes, from 1.
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

// Group is a replica group in force.
type Group struct {
	// ID is the group's fencing number.
	ID      uint64
	Pool    string
	Model   string
	Version string
	Members []Member
	Author  string
	At      time.Time
}

// Reservation holds a VM for a group, in force or ended.
type Reservation struct {
	Group uint64
	Pool  string
	// Ended means that the group was retired or replaced and the VM awaits release.
	Ended bool
}

// Daemon is a daemon that counts for a majority.
type Daemon struct {
	ID            string
	Addr          string
	FailureDomain string
	BootID        string
	Pos           Position
}

// Verdict is the fold's decision on one record.
type Verdict struct {
	Pos      Position
	RecordID string
	Accepted bool
	// Duplicate means that the record was decided at an earlier position; the
	// verdict is the earlier one.
	Duplicate bool
	// Reason says why the record was refused.
	Reason string
	// Winner is the stamp of the row that a refused edit lost to.
	Winner Stamp
}

// State is the folded control stream up to and including Pos. It is not safe
// for concurrent use; readers share it through package view.
type State struct {
	Pos Position
	// Started is false until the first record was folded or a snapshot loaded.
	Started bool
	Routes  map[string]RouteRow
	Pools   map[string]PoolRow
	Groups  map[uint64]Group
	VMs     map[string]Reservation
	Daemons map[string]Daemon
	// Revisions keeps the last revision of deleted rows, so that a row made
	// again does not reuse a revision. Keys are "route/NAME" and "pool/NAME".
	Revisions map[string]uint64
	// Recent are the verdicts on the last records, oldest first.
	Recent []Verdict
	// Opened is the epoch whose records count; those of a later one are refused
	// until its Open.
	Opened uint32
	// Base is the last position before the epoch of Pos.
	Base Position
	// History hashes all verdicts so far, in order.
	History uint64
	// index finds the verdicts of Recent by record id; nil until it is needed.
	index map[string]Verdict
}

// MaxRecentVerdicts is the number of verdicts kept to recognise duplicated appends.
const MaxRecentVerdicts = 4096

// FirstEpoch is the epoch of a log that was never set up anew. It needs no Open.
const FirstEpoch = 1

// New returns the empty state.
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

// InitMaps makes the maps that a decoder left nil, so that the fold can write.
func (s *State) InitMaps() {
	empty := New()
	s.Routes = orElse(s.Routes, empty.Routes)
	s.Pools = orElse(s.Pools, empty.Pools)
	s.Groups = orElse(s.Groups, empty.Groups)
	s.VMs = orElse(s.VMs, empty.VMs)
	s.Daemons = orElse(s.Daemons, empty.Daemons)
	s.Revisions = orElse(s.Revisions, empty.Revisions)
}

func orElse[M ~map[K]V, K comparable, V any](m, other M) M {
	if m == nil {
		return other
	}
	return m
}

// Clone returns a copy that shares no maps with s. Rows are shared: they are
// never changed in place.
func (s *State) Clone() *State {
	c := *s
	c.Routes = maps.Clone(s.Routes)
	c.Pools = maps.Clone(s.Pools)
	c.Groups = maps.Clone(s.Groups)
	c.VMs = maps.Clone(s.VMs)
	c.Daemons = maps.Clone(s.Daemons)
	c.Revisions = maps.Clone(s.Revisions)
	c.Recent = slices.Clone(s.Recent)
	c.index = nil
	return &c
}

// Next returns the position after which the next record is expected.
func (s *State) Next() Position {
	if !s.Started {
		return s.Pos
	}
	return Position{Epoch: s.Pos.Epoch, Offset: s.Pos.Offset + 1}
}
