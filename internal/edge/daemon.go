package edge

import (
	"context"
	"errors"
	"net"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/balance"
	"github.com/ragwortquay/ragwortquay/internal/boottime"
	"github.com/ragwortquay/ragwortquay/internal/directory"
	"github.com/ragwortquay/ragwortquay/internal/ingress"
	"github.com/ragwortquay/ragwortquay/internal/mesh"
	"github.com/ragwortquay/ragwortquay/internal/pause"
	"github.com/ragwortquay/ragwortquay/internal/planner"
	"github.com/ragwortquay/ragwortquay/internal/relay"
	"github.com/ragwortquay/ragwortquay/internal/retry"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

const (
	// heapPart is the part of the machine's memory from which the collector
	// works harder; the rest is for stacks, buffers of sockets and the binary.
	heapPart = 0.6
	// announceRetry is the pause before a failed announcement is tried again.
	announceRetry = 500 * time.Millisecond
	// readyPart is the part of the bound for revoked keys, or for configurations,
	// within which the configuration must be confirmed for new callers.
	readyPart = 0.6
	// endTimeout bounds the end of a daemon after its last answer.
	endTimeout = 250 * time.Millisecond
	// fleetGuess is the number of daemons assumed before any has announced itself.
	fleetGuess = 16
)

// Announcer tells the other daemons this one's address.
type Announcer interface {
	Announce(name, addr string) error
}

// Platform is what a daemon needs of the platform's translation.
type Platform struct {
	Log          directory.Log
	Decoder      directory.Decoder
	Topics       directory.Topics
	Lease        planner.Lease
	Heads        planner.HeadStore
	Announcer    Announcer
	EngineClient planner.EngineClient
	Codec        interface {
		ingress.Codec
		relay.EngineSender
	}
}

// Daemon is one serving process.
type Daemon struct {
	settings  Settings
	platform  Platform
	directory *directory.Directory
	planner   *planner.Planner
	server    *ingress.Server
	mesh      *mesh.Mesh
	gossip    *gossip
	stats     *stats
}

// New puts a daemon together; Run starts it.
func New(s Settings, p Platform) *Daemon {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapPart * float64(s.MemoryBytes)))
	}
	d := &Daemon{settings: s, platform: p, stats: newStats()}
	tracker := balance.NewTracker(s.Node, d.fleet)
	d.gossip = &gossip{d: d, tracker: tracker, suspects: shard.NewMap[suspicion](), started: boottime.Now()}
	d.directory = directory.New(directory.Options{
		Log: p.Log, Decoder: p.Decoder, Topics: p.Topics, ConfigBound: s.ConfigBound,
		IsReader: d.gossip.reads, OnRead: d.gossip.read,
	})
	demand := balance.NewDemand()
	boot := ulid.Make().String()
	d.mesh = mesh.New(mesh.Options{
		Node: s.Node, BootID: boot, Addr: net.JoinHostPort(s.IP, strconv.Itoa(s.MeshPort)),
		Source: d.gossip, Handler: d.gossip, IsCollector: d.gossip.reads,
	})
	d.planner = planner.New(planner.Options{
		MemberID: s.Node + "/" + boot, Directory: d.directory, Lease: p.Lease, Engines: p.EngineClient, Heads: p.Heads, Demand: demand, Loads: tracker.LoadSums,
		FirstStart: s.FirstStart, IsCandidate: d.gossip.competes,
		Heartbeat: s.Heartbeat, StallBound: s.StallBound, MinLeaseTTL: s.MinLeaseTTL,
	})
	r := relay.New(relay.Options{
		Directory: d.directory, Tracker: tracker, Sender: p.Codec, Demand: demand,
		RetryBudget: retry.NewSharedBudget(retry.Allowance{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow}, d.fleet),
		Zone:        s.Zone,
		ConfigBound: s.ConfigBound, StrictRevoke: s.StrictRevoke, RevokeBound: s.RevokeBound,
		Observer:  d.stats,
		OnSuspect: d.gossip.suspect,
	})
	d.server = ingress.New(ingress.Options{
		Addr: s.FrontAddr, ReadyAddr: s.ReadyAddr, Codec: p.Codec, Relay: r,
		IsReady: d.ready, MaxBodyBytes: d.bodyBytes, GracePeriod: s.GracePeriod,
	})
	return d
}

// Run serves until ctx ends and what was under way is finished.
func (d *Daemon) Run(ctx context.Context) error {
	klog.InfoS("start", "node", d.settings.Node, "zone", d.settings.Zone)
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return d.directory.Run(work) })
	g.Go(func() error { return d.planner.Run(ctx) })
	g.Go(func() error { return d.announce(work) })
	g.Go(func() error { return d.mesh.Run(work) })
	g.Go(func() error { return d.gauges(work) })
	g.Go(func() error { return d.stats.serve(work, d.settings.MetricsAddr) })
	g.Go(func() error {
		// The store is followed until the last request is answered.
		defer cancel()
		return d.server.Run(ctx)
	})
	ended := make(chan error, 1)
	go func() { ended <- g.Wait() }()
	err := d.wait(work, ended)
	klog.InfoS("stop", "node", d.settings.Node)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// wait waits for the parts to end. Once the last request is answered they get
// endTimeout: a read of the store that is under way would hold the process up.
func (d *Daemon) wait(work context.Context, ended <-chan error) error {
	select {
	case err := <-ended:
		return err
	case <-work.Done():
	}
	t := time.NewTimer(endTimeout)
	defer t.Stop()
	select {
	case err := <-ended:
		return err
	case <-t.C:
		return nil
	}
}

// announce makes this daemon known until it stops.
func (d *Daemon) announce(ctx context.Context) error {
	addr := net.JoinHostPort(d.settings.IP, strconv.Itoa(d.settings.MeshPort))
	for ctx.Err() == nil {
		err := d.platform.Announcer.Announce(d.settings.Node, addr)
		if err == nil {
			break
		}
		klog.V(1).ErrorS(err, "address not announced")
		pause.For(ctx, announceRetry)
	}
	<-ctx.Done()
	return nil
}

// fleet returns the number of daemons that share what is bounded for all.
func (d *Daemon) fleet() int {
	n := d.directory.DaemonCount()
	if n == 0 {
		return fleetGuess
	}
	return n
}

// ready reports whether this daemon may get new callers.
func (d *Daemon) ready() bool {
	if !d.directory.Loaded() {
		return false
	}
	return !d.settings.StrictRevoke || d.directory.ConfigAge() < time.Duration(readyPart*float64(d.settings.RevokeBound))
}

func (d *Daemon) bodyBytes() int {
	if cfg := d.directory.Config(); cfg != nil {
		return cfg.MaxBodyBytes
	}
	return 0
}
