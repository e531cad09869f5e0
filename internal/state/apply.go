package state

import (
	"fmt"
	"maps"

	"github.com/ragwortquay/ragwortquay/internal/table"
)

// Apply applies the record at position pos to s and returns the verdict. The
// state only moves forward: a record at or before s.Pos is refused and has no
// effect. A nil record stands for one that cannot be decoded and is refused too.
func (s *State) Apply(pos Position, rec *Record) Verdict {
	if s.Started && !s.Pos.Before(pos) {
		return Verdict{Pos: pos, Reason: "position was already applied"}
	}
	if pos.Epoch > s.Pos.Epoch {
		s.Base = s.Pos
	}
	s.Pos, s.Started = pos, true
	if rec == nil {
		return Verdict{Pos: pos, Reason: "record cannot be decoded"}
	}
	if rec.ID == "" {
		return Verdict{Pos: pos, Reason: "record has no id"}
	}
	if v, ok := s.recentVerdict(rec.ID); ok {
		v.Duplicate = true
		return v
	}
	v := s.applyRecord(pos, rec)
	v.Pos, v.RecordID = pos, rec.ID
	s.addVerdict(v)
	return v
}

// recentVerdict returns the verdict in s.Recent on the record with the given id.
// It rebuilds the index first if a decoder or Clone left it nil.
func (s *State) recentVerdict(id string) (Verdict, bool) {
	if s.recentByID == nil {
		s.recentByID = make(map[string]Verdict, len(s.Recent))
		for _, v := range s.Recent {
			s.recentByID[v.RecordID] = v
		}
	}
	v, ok := s.recentByID[id]
	return v, ok
}

// addVerdict appends v to the recent verdicts and to the hash of all verdicts.
// Beyond MaxRecentVerdicts it keeps the newer half, so that verdicts are moved
// only once in MaxRecentVerdicts/2 records.
func (s *State) addVerdict(v Verdict) {
	s.Recent = append(s.Recent, v)
	s.recentByID[v.RecordID] = v
	s.History = chainVerdict(s.History, v)
	if len(s.Recent) > MaxRecentVerdicts {
		s.Recent = append(s.Recent[:0:0], s.Recent[len(s.Recent)-MaxRecentVerdicts/2:]...)
		s.recentByID = nil
	}
}

// applyRecord dispatches the record by its kind.
func (s *State) applyRecord(pos Position, rec *Record) Verdict {
	switch {
	case rec.Open != nil:
		return s.applyOpen(pos, rec.Open)
	case pos.Epoch > s.Opened:
		return refused("epoch %d is not open yet", pos.Epoch)
	case rec.Edit != nil:
		return s.applyEdit(pos, rec)
	case rec.Form != nil:
		return s.applyForm(pos, rec)
	case rec.Retire != nil:
		return s.applyRetire(rec.Retire)
	case rec.Release != nil:
		return s.applyRelease(rec.Release)
	case rec.Join != nil:
		return s.applyJoin(pos, rec.Join)
	case rec.Leave != nil:
		return s.applyLeave(rec.Leave)
	default:
		return refused("record has no content")
	}
}

// applyOpen opens the epoch of pos if its base is the last position of this
// state before the epoch. The digest of the base is not compared here: readers
// do so before they apply the first record of the epoch, because an applied
// record cannot be undone.
func (s *State) applyOpen(pos Position, open *Open) Verdict {
	if pos.Epoch <= s.Opened {
		return refused("epoch %d is open already", pos.Epoch)
	}
	if open.Base != s.Base {
		return refused("epoch %d is based on position %s, but this state was at %s before it", pos.Epoch, open.Base, s.Base)
	}
	s.Opened = pos.Epoch
	return accepted()
}

func accepted() Verdict { return Verdict{Accepted: true} }

func refused(format string, args ...any) Verdict {
	return Verdict{Reason: fmt.Sprintf(format, args...)}
}

// applyEdit applies all changes to a scratch copy of the two tables first, so
// that a refused edit has no partial effect.
func (s *State) applyEdit(pos Position, rec *Record) Verdict {
	if len(rec.Edit.Changes) == 0 {
		return refused("edit has no changes")
	}
	scratch := &State{Routes: maps.Clone(s.Routes), Pools: maps.Clone(s.Pools), Revisions: maps.Clone(s.Revisions)}
	for _, c := range rec.Edit.Changes {
		if v := scratch.applyChange(pos, rec, c); !v.Accepted {
			return v
		}
	}
	if v := scratch.checkReferences(); !v.Accepted {
		return v
	}
	s.Routes, s.Pools, s.Revisions = scratch.Routes, scratch.Pools, scratch.Revisions
	return accepted()
}

func (s *State) applyChange(pos Position, rec *Record, c Change) Verdict {
	stamp := Stamp{Author: rec.Author, At: rec.At, Pos: pos}
	switch {
	case c.SetRoute != nil:
		return s.setRoute(*c.SetRoute, c.Base, stamp)
	case c.SetPool != nil:
		return s.setPool(*c.SetPool, c.Base, stamp)
	case c.DropRoute != "":
		return s.dropRoute(c.DropRoute, c.Base)
	case c.DropPool != "":
		return s.dropPool(c.DropPool, c.Base)
	default:
		return refused("change does not name a route or a pool")
	}
}

func (s *State) setRoute(r table.Route, base uint64, stamp Stamp) Verdict {
	if err := r.Check(); err != nil {
		return refused("%v", err)
	}
	key := "route/" + r.Name
	if v := s.checkBaseRevision(key, s.Routes[r.Name].Stamp, base); !v.Accepted {
		return v
	}
	stamp.Revision = s.nextRevision(key)
	s.Routes[r.Name] = RouteRow{Route: r, Stamp: stamp}
	return accepted()
}

func (s *State) setPool(p table.Pool, base uint64, stamp Stamp) Verdict {
	if err := p.Check(); err != nil {
		return refused("%v", err)
	}
	key := "pool/" + p.Name
	if v := s.checkBaseRevision(key, s.Pools[p.Name].Stamp, base); !v.Accepted {
		return v
	}
	stamp.Revision = s.nextRevision(key)
	s.Pools[p.Name] = PoolRow{Pool: p, Stamp: stamp}
	return accepted()
}

func (s *State) dropRoute(name string, base uint64) Verdict {
	if _, ok := s.Routes[name]; !ok {
		return refused("route %q does not exist", name)
	}
	if v := s.checkBaseRevision("route/"+name, s.Routes[name].Stamp, base); !v.Accepted {
		return v
	}
	delete(s.Routes, name)
	return accepted()
}

func (s *State) dropPool(name string, base uint64) Verdict {
	if _, ok := s.Pools[name]; !ok {
		return refused("pool %q does not exist", name)
	}
	if v := s.checkBaseRevision("pool/"+name, s.Pools[name].Stamp, base); !v.Accepted {
		return v
	}
	delete(s.Pools, name)
	return accepted()
}

// checkBaseRevision refuses a change whose base is not the row's current
// revision, and then reports the stamp of the write that came first.
func (s *State) checkBaseRevision(key string, current Stamp, base uint64) Verdict {
	if current.Revision == base {
		return accepted()
	}
	if current.Revision == 0 {
		return refused("%s does not exist, but the edit was based on revision %d", key, base)
	}
	v := refused("%s is at revision %d by %s, but the edit was based on revision %d", key, current.Revision, current.Author, base)
	v.Winner = current
	return v
}

// nextRevision increments and returns the row's revision counter, which
// outlives the deletion of the row.
func (s *State) nextRevision(key string) uint64 {
	s.Revisions[key]++
	return s.Revisions[key]
}

// checkReferences checks that every pool named by a route exists.
func (s *State) checkReferences() Verdict {
	for _, name := range sortedKeys(s.Routes) {
		for _, pool := range s.Routes[name].Route.Pools {
			if _, ok := s.Pools[pool]; !ok {
				return refused("route %q names pool %q, which does not exist", name, pool)
			}
		}
	}
	return accepted()
}

func (s *State) applyJoin(pos Position, j *Join) Verdict {
	if j.Daemon == "" || j.Addr == "" || j.BootID == "" {
		return refused("join has no daemon id, no address or no boot id")
	}
	s.Daemons[j.Daemon] = Daemon{
		ID: j.Daemon, Addr: j.Addr, FailureDomain: j.FailureDomain, BootID: j.BootID, Pos: pos,
	}
	return accepted()
}

func (s *State) applyLeave(l *Leave) Verdict {
	d, ok := s.Daemons[l.Daemon]
	if !ok {
		return refused("daemon %q has not joined", l.Daemon)
	}
	if d.BootID != l.BootID {
		return refused("daemon %q has since joined again with another boot id", l.Daemon)
	}
	delete(s.Daemons, l.Daemon)
	return accepted()
}
