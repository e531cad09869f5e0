package state

import (
	"fmt"
	"maps"

	"github.com/ragwortquay/ragwortquay/internal/table"
)

// Apply folds one record at pos into s and returns the verdict. Records at or
// before s.Pos are ignored with a refused verdict: the state moves only
// forward. A nil record (one that no reader can decode) is refused.
func (s *State) Apply(pos Position, rec *Record) Verdict {
	if s.Started && !s.Pos.Before(pos) {
		return Verdict{Pos: pos, Reason: "position was already folded"}
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
	if v, ok := s.decided(rec.ID); ok {
		v.Duplicate = true
		return v
	}
	v := s.decide(pos, rec)
	v.Pos, v.RecordID = pos, rec.ID
	s.remember(v)
	return v
}

// decided returns the verdict on a recent record. The index is made again after
// a decoder or Clone has left it out.
func (s *State) decided(id string) (Verdict, bool) {
	if s.index == nil {
		s.index = make(map[string]Verdict, len(s.Recent))
		for _, v := range s.Recent {
			s.index[v.RecordID] = v
		}
	}
	v, ok := s.index[id]
	return v, ok
}

func (s *State) remember(v Verdict) {
	s.Recent = append(s.Recent, v)
	s.index[v.RecordID] = v
	s.History = chain(s.History, v)
	if len(s.Recent) > MaxRecentVerdicts {
		s.Recent = append(s.Recent[:0:0], s.Recent[len(s.Recent)-MaxRecentVerdicts/2:]...)
		s.index = nil
	}
}

func (s *State) decide(pos Position, rec *Record) Verdict {
	switch {
	case rec.Open != nil:
		return s.open(pos, rec.Open)
	case pos.Epoch > s.Opened:
		return refuse("epoch %d is not open yet", pos.Epoch)
	case rec.Edit != nil:
		return s.edit(pos, rec)
	case rec.Form != nil:
		return s.form(pos, rec)
	case rec.Retire != nil:
		return s.retire(rec.Retire)
	case rec.Release != nil:
		return s.release(rec.Release)
	case rec.Join != nil:
		return s.join(pos, rec.Join)
	case rec.Leave != nil:
		return s.leave(rec.Leave)
	default:
		return refuse("record is empty")
	}
}

// open opens the epoch of pos. That the digest fits is checked before the
// epoch's first record is folded, since nothing can be taken back afterwards.
func (s *State) open(pos Position, o *Open) Verdict {
	if pos.Epoch <= s.Opened {
		return refuse("epoch %d is open already", pos.Epoch)
	}
	if o.Base != s.Base {
		return refuse("epoch %d builds on position %s, but this state stood at %s", pos.Epoch, o.Base, s.Base)
	}
	s.Opened = pos.Epoch
	return accept()
}

func accept() Verdict { return Verdict{Accepted: true} }

func refuse(format string, args ...any) Verdict {
	return Verdict{Reason: fmt.Sprintf(format, args...)}
}

// edit checks every change against a scratch copy of the two tables first, so
// that a refused edit leaves nothing behind.
func (s *State) edit(pos Position, rec *Record) Verdict {
	if len(rec.Edit.Changes) == 0 {
		return refuse("edit changes nothing")
	}
	trial := &State{Routes: maps.Clone(s.Routes), Pools: maps.Clone(s.Pools), Revisions: maps.Clone(s.Revisions)}
	for _, c := range rec.Edit.Changes {
		if v := trial.change(pos, rec, c); !v.Accepted {
			return v
		}
	}
	if v := trial.references(); !v.Accepted {
		return v
	}
	s.Routes, s.Pools, s.Revisions = trial.Routes, trial.Pools, trial.Revisions
	return accept()
}

func (s *State) change(pos Position, rec *Record, c Change) Verdict {
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
		return refuse("change names no row")
	}
}

func (s *State) setRoute(r table.Route, base uint64, stamp Stamp) Verdict {
	if err := r.Check(); err != nil {
		return refuse("%v", err)
	}
	key := "route/" + r.Name
	if v := s.checkBase(key, s.Routes[r.Name].Stamp, base); !v.Accepted {
		return v
	}
	stamp.Revision = s.bump(key)
	s.Routes[r.Name] = RouteRow{Route: r, Stamp: stamp}
	return accept()
}

func (s *State) setPool(p table.Pool, base uint64, stamp Stamp) Verdict {
	if err := p.Check(); err != nil {
		return refuse("%v", err)
	}
	key := "pool/" + p.Name
	if v := s.checkBase(key, s.Pools[p.Name].Stamp, base); !v.Accepted {
		return v
	}
	stamp.Revision = s.bump(key)
	s.Pools[p.Name] = PoolRow{Pool: p, Stamp: stamp}
	return accept()
}

func (s *State) dropRoute(name string, base uint64) Verdict {
	if _, ok := s.Routes[name]; !ok {
		return refuse("route %q does not exist", name)
	}
	if v := s.checkBase("route/"+name, s.Routes[name].Stamp, base); !v.Accepted {
		return v
	}
	delete(s.Routes, name)
	return accept()
}

func (s *State) dropPool(name string, base uint64) Verdict {
	if _, ok := s.Pools[name]; !ok {
		return refuse("pool %q does not exist", name)
	}
	if v := s.checkBase("pool/"+name, s.Pools[name].Stamp, base); !v.Accepted {
		return v
	}
	delete(s.Pools, name)
	return accept()
}

func (s *State) checkBase(key string, current Stamp, base uint64) Verdict {
	if current.Revision == base {
		return accept()
	}
	if current.Revision == 0 {
		return refuse("%s does not exist, but the edit was based on revision %d", key, base)
	}
	v := refuse("%s is at revision %d by %s, but the edit was based on revision %d", key, current.Revision, current.Author, base)
	v.Winner = current
	return v
}

func (s *State) bump(key string) uint64 {
	s.Revisions[key]++
	return s.Revisions[key]
}

// references checks that every route names pools that exist.
func (s *State) references() Verdict {
	for _, name := range sortedKeys(s.Routes) {
		for _, pool := range s.Routes[name].Route.Pools {
			if _, ok := s.Pools[pool]; !ok {
				return refuse("route %q names pool %q, which does not exist", name, pool)
			}
		}
	}
	return accept()
}

func (s *State) join(pos Position, j *Join) Verdict {
	if j.Daemon == "" || j.Addr == "" || j.BootID == "" {
		return refuse("join lacks a daemon, an address or a boot id")
	}
	s.Daemons[j.Daemon] = Daemon{
		ID: j.Daemon, Addr: j.Addr, FailureDomain: j.FailureDomain, BootID: j.BootID, Pos: pos,
	}
	return accept()
}

func (s *State) leave(l *Leave) Verdict {
	d, ok := s.Daemons[l.Daemon]
	if !ok {
		return refuse("daemon %q is not joined", l.Daemon)
	}
	if d.BootID != l.BootID {
		return refuse("daemon %q has joined again since", l.Daemon)
	}
	delete(s.Daemons, l.Daemon)
	return accept()
}
