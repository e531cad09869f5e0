package planner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const (
	simEngines  = 7 // two groups of three and a spare
	simDaemons  = 3
	simTick     = 50 * time.Millisecond
	simDuration = 90 * time.Second
	simExpiry   = 3 * time.Second
)

// simEngine is an engine as the platform describes it. Members notice nothing of each
// other; a head that misses a member stands still, and is broken after headStall.
type simEngine struct {
	catalog.Engine
	members              []string
	readyAt, expiresAt   time.Time
	closesAt, missingFor time.Time
	seq, fence, epoch    int64
	alive                bool
}

// lead reports whether the engine is the head of the group.
func (e *simEngine) lead(g catalog.GroupID) bool {
	return e.alive && e.Membership.Group == g && e.Membership.Rank == 0 && e.Membership.State != catalog.NoGroup
}

// cut is a pair of parties that do not reach each other: daemons ("d0"), engines ("i-0") or
// the store.
type cut struct{ a, b string }

// simulation is a set of engines, daemons and a store that lose and regain their paths to
// each other. It is deterministic but for the order of goroutines.
type simulation struct {
	mu      sync.Mutex
	rng     *rand.Rand
	engines map[string]*simEngine
	listed  map[string]catalog.Engine
	cuts    map[cut]time.Time
	records []directory.Record
	// reliable is set if all orders are executed and answered at once.
	reliable bool
	// joinedTwo describes the joins that took an engine from a group which may be open, with
	// the orders that the two engines executed before.
	joinedTwo []string
	executed  []string
	late      sync.WaitGroup
	joins     int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 50)), engines: map[string]*simEngine{}, listed: map[string]catalog.Engine{}, cuts: map[cut]time.Time{}}
	for i := range simEngines {
		e := &simEngine{alive: true, Engine: catalog.Engine{ID: fmt.Sprint("i-", i), Service: "llm", Zone: "a", FabricDomain: "f", StartUnixMS: headStart, StagedModels: []string{"m"}}}
		s.engines[e.ID] = e
	}
	for i := range simDaemons {
		s.append(fmt.Sprint("d", i), "1")
	}
	return s
}

func (s *simulation) append(key, value string) {
	s.records = append(s.records, directory.Record{Offset: uint64(len(s.records)), Key: key, Value: []byte(value)})
}

func (s *simulation) reaches(a, b string) bool {
	now := time.Now()
	return !now.Before(s.cuts[cut{a, b}]) && !now.Before(s.cuts[cut{b, a}])
}

// advance brings all engines and their entries up to the present.
func (s *simulation) advance() {
	now := time.Now()
	for id, e := range s.engines {
		m := &e.Membership
		if e.alive && m.State == catalog.Joining && !now.Before(e.readyAt) {
			m.State = catalog.Ready
		}
		if m.State == catalog.Closing && now.After(e.closesAt) {
			m.State = catalog.Ready
		}
		if e.alive && m.Rank == 0 && (m.State == catalog.Open || m.State == catalog.Closing) {
			switch missing := s.missesMember(e); {
			case !missing:
				e.missingFor = time.Time{}
			case e.missingFor.IsZero():
				e.missingFor = now
			case now.Sub(e.missingFor) >= headStall:
				m.State = catalog.Broken
			}
		}
		switch {
		case e.alive && s.reaches(id, "store"):
			listed := e.Engine
			if old, ok := s.listed[id]; ok {
				listed.SeenAt = old.SeenAt
			}
			if old, ok := s.listed[id]; !ok || old.Membership != listed.Membership || old.StartUnixMS != listed.StartUnixMS {
				listed.SeenAt = now
			}
			s.listed[id], e.expiresAt = listed, now.Add(simExpiry)
		case now.After(e.expiresAt):
			delete(s.listed, id)
		}
	}
}

func (s *simulation) missesMember(head *simEngine) bool {
	return slices.ContainsFunc(head.members, func(id string) bool {
		e := s.engines[id]
		return !e.alive || e.Membership.Group != head.Membership.Group || !s.reaches(head.ID, id)
	})
}

// execute executes an order that has arrived at the engine, perhaps late.
func (s *simulation) execute(e *simEngine, o Order, how string) error {
	err := s.begin(e, o)
	s.executed = append(s.executed, fmt.Sprintf("%s %s: %s %s %v, fence %d, %s: %s", time.Now().Format("05.000"), e.ID, o.Op, o.Group.Name, o.Members, o.Fence, how, errText(err)))
	return err
}

func (s *simulation) begin(e *simEngine, o Order) error {
	refused := fault.Refuse(fault.Conflict, "", "refused")
	m := &e.Membership
	inGroup := m.Group == o.Group && m.State != catalog.NoGroup
	switch {
	case o.IfSeq != nil && *o.IfSeq != e.seq:
		return refused
	case o.Op == Join && o.Group.Epoch < e.epoch:
		return refused
	case o.Op == Join && inGroup:
		return nil
	case o.Op == Join:
		s.checkTwo(e, o)
		s.joins++
		wait := 200 * time.Millisecond
		*m = catalog.Membership{Group: o.Group, Rank: slices.Index(o.Members, e.ID), State: catalog.Joining}
		e.Model, e.members, e.epoch, e.readyAt, e.missingFor = o.Model, o.Members, o.Group.Epoch, time.Now().Add(wait), time.Time{}
	case o.Op == Leave && inGroup:
		*m, e.Model = catalog.Membership{}, ""
	case o.Op == Open && inGroup && m.State == catalog.Open, o.Op == Close && inGroup && (m.State == catalog.Ready || m.State == catalog.Closing && !o.Abort), o.Op == Leave, o.Op == Stage:
		return nil
	case o.Op == Open && inGroup && m.State == catalog.Ready:
		m.State = catalog.Open
	case o.Op == Close && inGroup && m.State == catalog.Open && !o.Abort:
		m.State, e.closesAt = catalog.Closing, time.Now().Add(time.Duration(s.rng.IntN(1000))*time.Millisecond)
	case o.Op == Close && inGroup && m.State != catalog.Joining:
		m.State = catalog.Ready
	default:
		return refused
	}
	e.seq++
	return nil
}

// checkTwo is the oracle: no engine may join another group while the head of its group is
// open, closing, or stands still and is not yet broken.
func (s *simulation) checkTwo(e *simEngine, o Order) {
	m := e.Membership
	if m.State == catalog.NoGroup || m.Group == o.Group {
		return
	}
	head := s.engines[e.members[0]]
	if head.lead(m.Group) && (head.Membership.State == catalog.Open || head.Membership.State == catalog.Closing) {
		history := slices.DeleteFunc(slices.Clone(s.executed), func(line string) bool {
			return !strings.Contains(line, " "+e.ID+":") && !strings.Contains(line, " "+head.ID+":")
		})
		s.joinedTwo = append(s.joinedTwo, fmt.Sprintf("%s %s joined %s, fence %d, while %s was %s at %s, after\n%s", time.Now().Format("05.000"), e.ID, o.Group.Name, o.Fence,
			m.Group.Name, head.Membership.State, head.ID, strings.Join(history[max(0, len(history)-20):], "\n")))
	}
}

// disturb begins a disruption now and then.
func (s *simulation) disturb() {
	if s.rng.IntN(20) > 0 {
		return
	}
	now := time.Now()
	e := s.engines[fmt.Sprint("i-", s.rng.IntN(simEngines))]
	if s.rng.IntN(2) == 0 { // prefer heads
		for _, x := range s.engines {
			if x.Membership.State == catalog.Open {
				e = x
			}
		}
	}
	until := now.Add(time.Duration(s.rng.IntN(14000)) * time.Millisecond)
	cutOff := func(parties ...string) {
		for _, p := range parties {
			s.cuts[cut{e.ID, p}] = until
		}
	}
	switch s.rng.IntN(8) {
	case 0: // one daemon
		cutOff(fmt.Sprint("d", s.rng.IntN(simDaemons)))
	case 1, 2: // the front and the store, not the fabric
		cutOff("d0", "d1", "d2", "store")
	case 3:
		cutOff("d0", "d1", "d2")
	case 4:
		cutOff("store")
	case 5: // the fabric
		cutOff(fmt.Sprint("i-", s.rng.IntN(simEngines)))
	case 6: // everybody
		cutOff("d0", "d1", "d2", "store", "i-0", "i-1", "i-2", "i-3", "i-4", "i-5", "i-6")
	case 7:
		e.alive, e.missingFor = false, time.Time{}
		time.AfterFunc(2*time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			e.Membership, e.Model, e.StartUnixMS, e.alive = catalog.Membership{}, "", e.StartUnixMS+1, true
			e.seq, e.fence, e.epoch = 0, 0, 0
		})
	}
}

// simDaemon is a daemon's access to the engines, its peers and the store.
type simDaemon struct {
	*simulation
	name      string
	planner   *Planner
	directory *directory.Directory
	// read is the number of records that the daemon has read.
	read    int
	peers   []*simDaemon
	plansAt time.Time
}

// reach returns the engine if the daemon reaches it.
func (d *simDaemon) reach(e *catalog.Engine) (*simEngine, error) {
	d.advance()
	engine := d.engines[e.ID]
	if !engine.alive || !d.reaches(d.name, e.ID) {
		return nil, fault.New(fault.Timeout, "", "no answer")
	}
	return engine, nil
}

func (d *simDaemon) Report(e *catalog.Engine) (Report, error) {
	time.Sleep(2 * time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	engine, err := d.reach(e)
	if err != nil {
		return Report{}, err
	}
	return Report{StartUnixMS: engine.StartUnixMS, Membership: engine.Membership, OrderSeq: engine.seq}, nil
}

func (d *simDaemon) Answers(e *catalog.Engine, _ string) bool {
	_, err := d.Report(e)
	return err == nil
}

// Order executes most orders at once. Some are executed seconds later and some answers are
// lost.
func (d *simDaemon) Order(e *catalog.Engine, o Order) error {
	time.Sleep(2 * time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	engine, err := d.reach(e)
	if err != nil {
		return err
	}
	if o.Fence < engine.fence {
		return fault.Refuse(fault.Forbidden, "", "fenced")
	}
	engine.fence = o.Fence
	mishap := -1
	if !d.reliable {
		mishap = d.rng.IntN(12)
	}
	switch mishap {
	case 0:
		start, delay := engine.StartUnixMS, time.Duration(2000+d.rng.IntN(10000))*time.Millisecond
		d.late.Go(func() {
			time.Sleep(delay)
			d.mu.Lock()
			defer d.mu.Unlock()
			if engine.alive && engine.StartUnixMS == start {
				_ = d.execute(engine, o, d.name+", late")
			}
		})
	case 1:
		_ = d.execute(engine, o, d.name+", answer lost")
	default:
		return d.execute(engine, o, d.name)
	}
	return fault.New(fault.Timeout, "", "no answer")
}

func (d *simDaemon) Ask(e *catalog.Engine) {
	asked := boottime.Now()
	for _, peer := range d.peers {
		d.late.Go(func() {
			found, _ := peer.planner.Examine(e)
			d.planner.ApplyStatement(&Statement{Peer: peer.name, Engine: e.ID, StartUnixMS: e.StartUnixMS, AskedAt: asked, HeardAgo: -1, Finding: found})
		})
	}
}

func (*simDaemon) LastHeard(string) time.Time { return time.Time{} }

func (d *simDaemon) SaveHead(g catalog.GroupID, head *catalog.Engine) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.append("head "+g.Name, fmt.Sprint(head.ID, " ", head.StartUnixMS, " ", g.Epoch))
	return nil
}

func (*simDaemon) DeleteHead(string) error { return nil }

// readStore applies the records of daemons and heads that were written since the last call.
func (d *simDaemon) readStore() {
	d.mu.Lock()
	records := slices.Clone(d.records[d.read:])
	d.mu.Unlock()
	if len(records) > 0 {
		d.directory.ApplyPushed(directory.DaemonsTopic, directory.Position{Offset: uint64(d.read)}, records)
		d.read += len(records)
	}
}

func (*simDaemon) Operator(directory.Record) (*directory.OperatorRecord, error) { return nil, nil }
func (*simDaemon) Engine(directory.Record) (*catalog.Engine, error)             { return nil, nil }

func (*simDaemon) DaemonRecord(r directory.Record) (*directory.DaemonRecord, error) {
	var group, id string
	var start, epoch int64
	if _, err := fmt.Sscanf(r.Key, "head %s", &group); err != nil {
		return &directory.DaemonRecord{Daemon: r.Key, Addr: string(r.Value)}, nil
	}
	if _, err := fmt.Sscan(string(r.Value), &id, &start, &epoch); err != nil {
		return nil, err
	}
	head := &catalog.Engine{ID: id, Service: "llm", StartUnixMS: start}
	head.Membership = catalog.Membership{Group: catalog.GroupID{Name: group, Epoch: epoch}, State: catalog.Open}
	return &directory.DaemonRecord{Group: group, Head: head}, nil
}

// view returns the service as the daemon sees it.
func (d *simDaemon) view(service *catalog.Service) *directory.ServiceView {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance()
	var engines []*catalog.Engine
	for i := range simEngines {
		if e, ok := d.listed[fmt.Sprint("i-", i)]; ok {
			engines = append(engines, &e)
		}
	}
	return &directory.ServiceView{Service: service, Engines: engines, Groups: catalog.BuildGroups(service, engines)}
}
