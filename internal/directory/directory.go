// Package directory follows the topics of the platform's store and keeps the
// resulting state: the operators' configuration, the zones out of service, the
// engines and the other daemons. Readers get immutable snapshots. Mutable state is
// held in shards, each under its own lock.
//
// Only a few daemons read the store. They push the records that they read to their
// peers and report the end of each topic, so that a daemon whose position is at
// the reported end knows that its state is current.
package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/catalog"
	"github.com/ragwortquay/ragwortquay/internal/shard"
	"github.com/ragwortquay/ragwortquay/internal/storepace"
)

// Record is one record of a keyed topic. An empty value deletes the key.
type Record struct {
	Offset uint64
	Key    string
	Value  []byte
}

// TruncatedError reports that the topic does not have the requested records: they were
// deleted, or lost when the store was restored from an older copy.
type TruncatedError struct {
	// Era is the era of the store.
	Era uint64
}

// Error implements error.
func (*TruncatedError) Error() string {
	return "the topic does not have the requested records (read the newest record of each key)"
}

// Log is a client that reads topics of the store.
type Log interface {
	// Read returns the records from an offset on and the end of the topic, with the era
	// in which the store answered. If there are none, it waits for up to wait. It fails
	// with *TruncatedError if the topic does not have the offset.
	Read(topic string, from uint64, wait time.Duration) (records []Record, end Position, err error)
	// ReadLatest returns the newest record of each key, all of one era, and a position
	// such that a Read from it misses no later record.
	ReadLatest(topic string) (records []Record, end Position, err error)
}

// OperatorRecord is a decoded record of the operators' topic. Either Config or
// Zone is set.
type OperatorRecord struct {
	Config *catalog.Config
	// Zone is out of service if OutOfService is true, else in service.
	Zone         string
	OutOfService bool
}

// Decoder decodes the records of the store's topics.
type Decoder interface {
	// Operator decodes a record of the operators' topic. It returns nil for a key
	// that daemons do not use.
	Operator(Record) (*OperatorRecord, error)
	// Engine decodes the announcement of an engine.
	Engine(Record) (*catalog.Engine, error)
	// DaemonRecord decodes a record that a daemon wrote. It returns nil for an
	// unknown key.
	DaemonRecord(Record) (*DaemonRecord, error)
}

// DaemonRecord is a record written by a daemon: the address of a daemon or the
// head of a group. Either Daemon or Group is set.
type DaemonRecord struct {
	// Daemon is the name of a daemon and Addr its address, which is empty if the
	// daemon has withdrawn it.
	Daemon string
	Addr   string
	// Group is the name of a group and Head its head engine, which is nil if the
	// record was deleted because the group has ended.
	Group string
	Head  *catalog.Engine
}

// Topics holds the names of the topics in the store.
type Topics struct{ Operator, Engines, Daemons string }

func (t *Topics) name(topic Topic) string {
	return [...]string{t.Operator, t.Engines, t.Daemons}[topic]
}

// Options configures a Directory. Fields are required unless their comment says
// otherwise.
type Options struct {
	Log     Log
	Decoder Decoder
	Topics  Topics
	// ConfigBound is the time within which daemons must apply a published
	// configuration.
	ConfigBound time.Duration
	// Fleet returns what this daemon knows of the others, by which its calls of the store
	// are paced. If nil, this daemon always reads the store itself.
	Fleet func() storepace.Fleet
	// OnCall is called with the cause of each read before it is sent. It may be nil.
	OnCall func(t Topic, cause storepace.Cause)
	// OnRead is called after the records of an incremental read were applied, of which the
	// first one has position from and the last one precedes next. It must not block, and may
	// be nil.
	OnRead func(t Topic, from, next Position)
	// OnSuperseded is called with the number of records that peers need no more since later
	// ones of their keys were applied. It may be nil.
	OnSuperseded func(t Topic, records int)
	// OnReadLatest is called on its own goroutine with the newest records of a topic that
	// this daemon has read after a restore of the store. It may be nil.
	OnReadLatest func(t Topic, end Position, records []Record)
	// OnApplied is called with the time from the answer of a read until its records were
	// applied. It may be nil.
	OnApplied func(t Topic, took time.Duration)
	// OnPartialRead is called when an answer of the store held a part of the records. It may
	// be nil.
	OnPartialRead func(t Topic)
	// RequestRecords asks a peer for the records of a topic from position next on, and
	// reports whether one was asked. It may be nil.
	RequestRecords func(t Topic, next Position) bool
	// IsArriving reports whether a peer is sending records of a topic. It may be nil.
	IsArriving func(t Topic) bool
	// RereadPhase returns this daemon's random part, from 0 to 1, of the period over
	// which the fleet reads the store anew after a restore. If nil, it is 0.
	RereadPhase func() float64
	// OnRestore is called when the store has begun a new era after this daemon has read
	// it. It must not block, and may be nil.
	OnRestore func(era uint64)
}

// Directory is the state that results from the store's topics. It is safe for
// concurrent use.
type Directory struct {
	opts Options
	// pacer paces the reads of all topics.
	pacer storepace.Pacer
	// engines holds the announced engines by id.
	engines *shard.Map[*catalog.Engine]
	// versions holds the version of the newest announcement of each engine id. It
	// is kept after the engine's removal, so that an older announcement does not
	// bring the engine back.
	versions *shard.Map[announcementVersion]
	// leaving holds the engines that have said in an answer that they leave.
	leaving leaveNotices
	// invalid holds the error of each engine entry that cannot be decoded, by key.
	invalid *shard.Map[string]
	// daemons holds the addresses of daemons by name.
	daemons *shard.Map[string]
	// heads holds the recorded heads by group name.
	heads *shard.Map[*catalog.Engine]
	// indexes holds the engines and groups of each service by name.
	indexes *shard.Map[*serviceIndex]
	// zones holds the zones out of service.
	zones     *shard.Map[struct{}]
	config    atomic.Pointer[catalog.Config]
	positions [topicCount]*topicPosition
	// history holds the latest records by topic. Records are added with the lock of the
	// topic's position held.
	history [topicCount]History
	// era is the highest era of the store heard of, and eraSince the boot time in
	// nanoseconds at which it was first heard of. eraMu is held while the positions
	// enter an era, before their locks are taken.
	era      atomic.Uint64
	eraSince atomic.Int64
	eraMu    sync.Mutex
	// restored wakes settle.
	restored chan struct{}
	// heldZones and heldDaemonRecords hold what the first read after a restore said
	// against the known state, by zone and by key. They are guarded by the locks of the
	// operators' and the daemons' topic positions.
	heldZones         map[string]bool
	heldDaemonRecords map[string]*DaemonRecord
	// recordedAddrs and recordedHeads hold the daemons and groups that have a record in
	// the current era.
	recordedAddrs *shard.Map[string]
	recordedHeads *shard.Map[struct{}]
	// enginesRead is set once the engines' topic has been read.
	enginesRead atomic.Bool
	// removalsDeferredUntil is the boot time until which removals of engines are deferred
	// after an outage of the store. It is guarded by the lock of the engines' topic
	// position.
	removalsDeferredUntil time.Duration
	// lastTick is the boot time in nanoseconds at which this process was last known to
	// run; 0 before Run.
	lastTick atomic.Int64
	// deferred wakes removeDeferred.
	deferred chan struct{}

	// mu guards changed.
	mu      sync.Mutex
	changed chan struct{}
	// pendingRemovals holds the ids of the engines whose removal is deferred.
	pendingRemovals *shard.Map[struct{}]
}

// New returns an empty directory. Run starts following the store.
func New(o Options) *Directory {
	if o.Fleet == nil {
		o.Fleet = func() storepace.Fleet { return storepace.Fleet{Role: storepace.Reading} }
	}
	if o.OnCall == nil {
		o.OnCall = func(Topic, storepace.Cause) {}
	}
	if o.RequestRecords == nil {
		o.RequestRecords = func(Topic, Position) bool { return false }
	}
	if o.IsArriving == nil {
		o.IsArriving = func(Topic) bool { return false }
	}
	if o.OnRead == nil {
		o.OnRead = func(Topic, Position, Position) {}
	}
	if o.OnSuperseded == nil {
		o.OnSuperseded = func(Topic, int) {}
	}
	if o.OnApplied == nil {
		o.OnApplied = func(Topic, time.Duration) {}
	}
	if o.OnPartialRead == nil {
		o.OnPartialRead = func(Topic) {}
	}
	if o.OnReadLatest == nil {
		o.OnReadLatest = func(Topic, Position, []Record) {}
	}
	if o.RereadPhase == nil {
		o.RereadPhase = func() float64 { return 0 }
	}
	if o.OnRestore == nil {
		o.OnRestore = func(uint64) {}
	}
	d := &Directory{
		opts:            o,
		engines:         shard.NewMap[*catalog.Engine](),
		versions:        shard.NewMap[announcementVersion](),
		leaving:         leaveNotices{shard.NewMap[leaveNotice]()},
		invalid:         shard.NewMap[string](),
		daemons:         shard.NewMap[string](),
		heads:           shard.NewMap[*catalog.Engine](),
		indexes:         shard.NewMap[*serviceIndex](),
		zones:           shard.NewMap[struct{}](),
		pendingRemovals: shard.NewMap[struct{}](),
		deferred:        make(chan struct{}, 1),
		changed:         make(chan struct{}),
		restored:        make(chan struct{}, 1),
		heldZones:       map[string]bool{}, heldDaemonRecords: map[string]*DaemonRecord{},
		recordedAddrs: shard.NewMap[string](), recordedHeads: shard.NewMap[struct{}](),
	}
	for t := range d.positions {
		d.positions[t] = newTopicPosition()
	}
	return d
}

// Run follows all topics of the store until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for topic := range topicCount {
		g.Go(func() error { return d.followTopic(ctx, topic) })
	}
	g.Go(func() error { return d.tick(ctx) })
	g.Go(func() error { return d.removeDeferred(ctx) })
	g.Go(func() error { return d.settle(ctx) })
	return g.Wait()
}

// Current returns the current configuration, or nil if none has been read, and the time
// since it was last known to be the newest one. Decisions that rest on both take them from
// one call. It never waits for records to be applied.
func (d *Directory) Current() (*catalog.Config, time.Duration) {
	// A configuration is stored before its confirmation, so one that is loaded after the age
	// is at least as new as the one that was confirmed.
	age := d.ConfigAge()
	return d.config.Load(), age
}

// Config returns the current configuration, or nil if none has been read.
func (d *Directory) Config() *catalog.Config { return d.config.Load() }

// ConfigAge returns the time since the configuration was last known to be the
// newest one, on a clock that includes the time for which the machine was
// suspended.
func (d *Directory) ConfigAge() time.Duration { return d.age(OperatorTopic) }

// StorePath returns the outcome of this daemon's own reads of the store.
func (d *Directory) StorePath() storepace.Path { return d.pacer.Path() }

// EnginesAge returns the time since all announcements of engines were last known
// to have been applied.
func (d *Directory) EnginesAge() time.Duration { return d.age(EnginesTopic) }

func (d *Directory) age(t Topic) time.Duration {
	at := time.Duration(d.positions[t].confirmedAt.Load())
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return boottime.Now() - at
}

// Loaded reports whether the configuration and the engines' topic have been read.
func (d *Directory) Loaded() bool { return d.enginesRead.Load() && d.config.Load() != nil }

// Service returns the current view of a service of the configuration. The view
// stays the same until an engine of the service changes.
func (d *Directory) Service(name string) (*ServiceView, bool) {
	x, ok := d.indexes.Get(name)
	if !ok {
		return nil, false
	}
	view := x.snapshot()
	return view, view != nil
}

// ZoneOutOfService reports whether the operators have taken the zone out of
// service.
func (d *Directory) ZoneOutOfService(zone string) bool {
	_, out := d.zones.Get(zone)
	return out
}

// Engine returns the announced engine with the given id.
func (d *Directory) Engine(id string) (*catalog.Engine, bool) { return d.engines.Get(id) }

// EngineAt returns the engine that started last at an address.
func (d *Directory) EngineAt(addr string) (last *catalog.Engine, ok bool) {
	d.engines.Range(func(_ string, e *catalog.Engine) bool {
		if e.Addr == addr && (!ok || e.StartUnixMS > last.StartUnixMS) {
			last, ok = e, true
		}
		return true
	})
	return last, ok
}

// HealthPath returns the path of a service's health checks, or an empty path.
func (d *Directory) HealthPath(service string) string {
	cfg := d.Config()
	if cfg == nil {
		return ""
	}
	return cfg.Services[service].HealthPath
}

// Daemons returns the addresses of all announced daemons by name.
func (d *Directory) Daemons() map[string]string {
	out := map[string]string{}
	d.daemons.Range(func(name, addr string) bool {
		out[name] = addr
		return true
	})
	return out
}

// DaemonCount returns the number of announced daemons.
func (d *Directory) DaemonCount() int { return d.daemons.Len() }

// Head returns the head that a planner recorded for a group. The engine may no
// longer announce itself.
func (d *Directory) Head(group string) (*catalog.Engine, bool) { return d.heads.Get(group) }

// Heads returns the heads that planners recorded, by group name. The engines may no
// longer announce themselves.
func (d *Directory) Heads() map[string]*catalog.Engine {
	out := map[string]*catalog.Engine{}
	d.heads.Range(func(group string, e *catalog.Engine) bool {
		out[group] = e
		return true
	})
	return out
}

// Changed returns a channel that is closed at the next change of a view or of the
// zones out of service.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (d *Directory) notify() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.changed)
	d.changed = make(chan struct{})
}

// setServices applies a new configuration to the indexes of all services.
func (d *Directory) setServices(services map[string]catalog.Service) {
	for name, service := range services {
		d.index(name).setService(&service)
	}
	d.indexes.Range(func(name string, x *serviceIndex) bool {
		if _, ok := services[name]; !ok {
			x.setService(nil)
		}
		return true
	})
	d.notify()
}

func (d *Directory) index(service string) *serviceIndex {
	return d.indexes.GetOrMake(service, newServiceIndex)
}

// replaceEngine replaces the entry of an engine; was or e is nil if the engine was
// added or removed. The caller holds the lock of the engines' topic position.
func (d *Directory) replaceEngine(was, e *catalog.Engine, log *changeLog) {
	if e != nil {
		d.engines.Set(e.ID, e)
	} else {
		d.engines.Delete(was.ID)
	}
	if was != nil && (e == nil || e.Service != was.Service) {
		log.serving = append(log.serving, d.index(was.Service).replace(was, nil)...)
		was = nil
	}
	if e != nil {
		log.serving = append(log.serving, d.index(e.Service).replace(was, e)...)
	}
}
