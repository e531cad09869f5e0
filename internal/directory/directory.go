// Package directory follows the platform's store: the operator's configuration,
// the zones taken out of service, the engines and the other daemons. Readers
// get immutable snapshots; live state sits in shards under their own locks.
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
)

// Record is one record of a keyed topic; an empty value drops the key.
type Record struct {
	Offset uint64
	Key    string
	Value  []byte
}

// TruncatedError says that the records asked for were deleted.
type TruncatedError struct{}

// Error implements error.
func (*TruncatedError) Error() string {
	return "the records were deleted (start from the newest record of each key)"
}

// Log reads topics of the store.
type Log interface {
	// Read returns the records from an offset on, waiting for the first one up
	// to wait. A *TruncatedError says that they were deleted.
	Read(topic string, from uint64, wait time.Duration) (records []Record, end uint64, err error)
	// ReadLatest returns the newest record of each key, and an offset from which to
	// read on so that nothing is missed.
	ReadLatest(topic string) (records []Record, end uint64, err error)
}

// OperatorRecord is a decoded record of the operator; one field is set.
type OperatorRecord struct {
	Config *catalog.Config
	// Zone is taken out of service where Out is true, else back.
	Zone         string
	OutOfService bool
}

// Decoder translates the records of the store's topics.
type Decoder interface {
	// Operator decodes a record of the operator; nil for one of no interest.
	Operator(Record) (*OperatorRecord, error)
	// Engine decodes an engine's announcement.
	Engine(Record) (*catalog.Engine, error)
	// DaemonRecord decodes a record of the daemons' own; nil for one of no interest.
	DaemonRecord(Record) (*DaemonRecord, error)
}

// DaemonRecord is what a daemon wrote for the others. One of Daemon and Head is set.
type DaemonRecord struct {
	// Daemon is a daemon's name, Addr its address, empty where it was withdrawn.
	Daemon string
	Addr   string
	// Group is a formation's name; Head is the engine that heads it, nil where
	// the formation is over.
	Group string
	Head  *catalog.Engine
}

// Topics are the names of the topics to follow.
type Topics struct{ Operator, Engines, Daemons string }

func (t *Topics) name(topic Topic) string {
	return [...]string{t.Operator, t.Engines, t.Daemons}[topic]
}

// Options configure a Directory. All fields are required.
type Options struct {
	Log     Log
	Decoder Decoder
	Topics  Topics
	// ConfigBound is the time within which a configuration must be in force.
	ConfigBound time.Duration
	// IsReader tells whether this daemon reads the store for the others; nil means
	// that each reads for itself.
	IsReader func() bool
	// OnRead is told of the records that were read; it may be nil.
	OnRead func(t Topic, from uint64, records []Record)
}

// ServiceView is what is known of a service's engines at one moment. It must
// not be changed.
type ServiceView struct {
	Service *catalog.Service
	Engines []*catalog.Engine
	Groups  []catalog.Group
}

// Directory is the state followed from the store. It is safe for concurrent use.
type Directory struct {
	opts    Options
	engines *shard.Map[*catalog.Engine]
	last    *shard.Map[identity]
	daemons *shard.Map[string]
	heads   *shard.Map[*catalog.Engine]
	views   *shard.Map[*ServiceView]
	zones   *shard.Map[struct{}]
	config  atomic.Pointer[catalog.Config]
	tracks  [topicCount]*track
	loaded  atomic.Bool
	// graceUntil is the end of the time after an outage within which removals
	// are not believed. The lock of the engines' track guards it.
	graceUntil time.Time

	mu      sync.Mutex
	changed chan struct{}
	pending *shard.Map[time.Time]
}

// identity orders the announcements of one engine id.
type identity struct{ born, beat int64 }

// New returns an empty directory; Run fills it.
func New(o Options) *Directory {
	if o.IsReader == nil {
		o.IsReader = func() bool { return true }
	}
	if o.OnRead == nil {
		o.OnRead = func(Topic, uint64, []Record) {}
	}
	d := &Directory{
		opts:    o,
		engines: shard.NewMap[*catalog.Engine](),
		last:    shard.NewMap[identity](),
		daemons: shard.NewMap[string](),
		heads:   shard.NewMap[*catalog.Engine](),
		views:   shard.NewMap[*ServiceView](),
		zones:   shard.NewMap[struct{}](),
		pending: shard.NewMap[time.Time](),
		changed: make(chan struct{}),
	}
	for t := range d.tracks {
		d.tracks[t] = newTrack()
	}
	return d
}

// Run follows the store until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for topic := range topicCount {
		g.Go(func() error { return d.follow(ctx, topic) })
	}
	return g.Wait()
}

// Config returns the newest configuration known, or nil.
func (d *Directory) Config() *catalog.Config { return d.config.Load() }

// ConfigAge returns how long ago the configuration was known to be the newest,
// on a clock that counts suspension.
func (d *Directory) ConfigAge() time.Duration { return d.age(OperatorTopic) }

// EnginesAge returns how long ago all announcements of engines were known.
func (d *Directory) EnginesAge() time.Duration { return d.age(EnginesTopic) }

func (d *Directory) age(t Topic) time.Duration {
	c := d.tracks[t].get()
	if !c.Known || c.ConfirmedAt == 0 {
		return time.Duration(1<<63 - 1)
	}
	return boottime.Now() - c.ConfirmedAt
}

// Loaded reports whether the configuration and the engines have been read once.
func (d *Directory) Loaded() bool { return d.loaded.Load() && d.config.Load() != nil }

// Service returns what is known of the named service's engines.
func (d *Directory) Service(name string) (*ServiceView, bool) { return d.views.Get(name) }

// ZoneOutOfService reports whether operators have taken the zone out of service.
func (d *Directory) ZoneOutOfService(zone string) bool {
	_, out := d.zones.Get(zone)
	return out
}

// Engine returns the engine with the given id.
func (d *Directory) Engine(id string) (*catalog.Engine, bool) { return d.engines.Get(id) }

// Daemons returns the addresses of all daemons that announced themselves, by name.
func (d *Directory) Daemons() map[string]string {
	out := map[string]string{}
	d.daemons.Range(func(name, addr string) bool {
		out[name] = addr
		return true
	})
	return out
}

// DaemonCount returns the number of daemons that announced themselves.
func (d *Directory) DaemonCount() int { return d.daemons.Len() }

// Head returns the head that a planner wrote down for a group. It may be gone.
func (d *Directory) Head(group string) (*catalog.Engine, bool) { return d.heads.Get(group) }

// Heads returns the heads that planners wrote down, by the group's name. They
// may be gone.
func (d *Directory) Heads() map[string]*catalog.Engine {
	out := map[string]*catalog.Engine{}
	d.heads.Range(func(group string, e *catalog.Engine) bool {
		out[group] = e
		return true
	})
	return out
}

// Changed returns a channel that is closed at the next change.
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

// rebuild makes the services' views anew from the engines.
func (d *Directory) rebuild() {
	cfg := d.config.Load()
	if cfg == nil {
		return
	}
	byService := map[string][]*catalog.Engine{}
	d.engines.Range(func(_ string, e *catalog.Engine) bool {
		byService[e.Service] = append(byService[e.Service], e)
		return true
	})
	for name, service := range cfg.Services {
		engines := byService[name]
		sortEngines(engines)
		d.views.Set(name, &ServiceView{
			Service: &service,
			Engines: engines,
			Groups:  catalog.BuildGroups(&service, engines),
		})
	}
	d.notify()
}
