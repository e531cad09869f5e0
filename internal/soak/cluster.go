package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/faultproxy"
	"github.com/ragwortquay/ragwortquay/internal/pause"
	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/site"
	"github.com/ragwortquay/ragwortquay/platform"
)

const (
	// daemonCount is the number of daemons. Two remain when one is lost.
	daemonCount = 3
	// failureDomains is the number of failure domains with engines. Each domain has
	// enginesPerDomain engines: a large group, a small group and a spare.
	failureDomains   = 2
	enginesPerDomain = site.LargeGroupSize + site.SmallGroupSize + 1
	plainEngineCount = 2
	// eventsPerStream and eventInterval make a stream last 400 ms, long enough for
	// faults to hit it.
	eventsPerStream = 40
	eventInterval   = 10 * time.Millisecond
	// plainServiceTime is the time that an engine without a model takes for a request.
	plainServiceTime = 20 * time.Millisecond
	frontPort        = 8227
	readyPort        = 8220
	meshPort         = 7340
	gracePeriodS     = 4
	configApplyMS    = 2000
	revokeMS         = 3000
	stallMS          = 2000
	// exitSlack is the time after its grace period at which a stopping daemon that has
	// not exited counts as hung.
	exitSlack = time.Second
	// entryTTL is the time after which the store drops the entry of a dead engine:
	// three heartbeat intervals.
	entryTTL = 1200 * time.Millisecond
	// memoryInterval is the interval of the samples of the daemons' memory.
	memoryInterval = 100 * time.Millisecond
)

// daemon is one daemon of the cluster; its process is killed and started again several
// times.
type daemon struct {
	number       int
	addr         string
	settingsFile string
	logFile      *os.File
	storeLink    *faultproxy.Link

	mu             sync.Mutex
	cmd            *exec.Cmd
	done           chan struct{} // closed when the process has ended
	injectedFaults int           // signals sent to the process, over all its starts
	startedAt      []time.Time   // of each process
	signalledAt    []time.Time   // of each signal
	ending         bool          // set while a fault ends the process, until its next start
	peakRSSBytes   int64         // the largest resident set of a process that was seen
}

// engine is a stand-in engine that daemons reach through a faulty link.
type engine struct {
	*site.Engine
	config site.EngineConfig
	link   *faultproxy.Link
}

// cluster holds the daemons under test and the stand-ins of the store and the engines.
type cluster struct {
	binary, dir string
	store       *site.Store
	daemons     []*daemon

	mu        sync.Mutex
	engines   []*engine
	engineSeq int
	// replacements counts the engines that are being replaced. None begins once closing is
	// set.
	replacements sync.WaitGroup
	closing      bool
}

func newCluster(binary, dir string) (*cluster, error) {
	c := &cluster{binary: binary, dir: dir, store: site.NewStore()}
	for i := range failureDomains * enginesPerDomain {
		c.addEngine(site.EngineConfig{
			Service: site.ModelService, Zone: "a", FabricDomain: fmt.Sprintf("d%d", i/enginesPerDomain),
			Slots: 8, EventsPerStream: eventsPerStream, EventInterval: eventInterval,
		})
	}
	for range plainEngineCount {
		c.addEngine(site.EngineConfig{Service: site.PlainService, Zone: "a", Slots: 8, EventInterval: plainServiceTime})
	}
	for i := range daemonCount {
		d, err := c.newDaemon(i)
		if err != nil {
			return c, err
		}
		c.daemons = append(c.daemons, d)
		if err := d.start(c.binary); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *cluster) newDaemon(i int) (*daemon, error) {
	ip := procs.LoopbackIP(os.Getpid(), i+1)
	link, err := faultproxy.NewLink(faultproxy.LinkOptions{
		Name: fmt.Sprintf("store-%d", i), Network: faultproxy.TCP, Listen: "127.0.0.1:0", Target: c.store.Addr(),
	})
	if err != nil {
		return nil, err
	}
	settings := site.DaemonSettings{
		NodeName: fmt.Sprintf("front-%d", i), Zone: "a", IP: ip, FrontPort: frontPort, ReadyPort: readyPort, MeshPort: meshPort,
		StoreAddr: link.Addr(), FirstStart: true, ConfigApplyMS: configApplyMS, RevokeMS: revokeMS, StallMS: stallMS, GraceS: gracePeriodS,
	}
	d := &daemon{number: i, addr: fmt.Sprintf("%s:%d", ip, frontPort), storeLink: link, settingsFile: filepath.Join(c.dir, settings.NodeName+".yaml")}
	if err := os.WriteFile(d.settingsFile, settings.YAML(), 0o600); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "check that the directory is writable", "write settings file %s", d.settingsFile)
	}
	d.logFile, err = os.OpenFile(filepath.Join(c.dir, settings.NodeName+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "check that the directory is writable", "open the log file in %s", c.dir)
	}
	return d, nil
}

func (d *daemon) start(binary string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	cmd := exec.Command(binary, "front")
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+d.settingsFile)
	cmd.Stdout, cmd.Stderr = d.logFile, d.logFile
	if err := cmd.Start(); err != nil {
		return fault.Wrap(fault.Internal, err, "check that the binary exists and is executable", "start daemon %d", d.number)
	}
	done := make(chan struct{})
	d.cmd, d.done, d.ending = cmd, done, false
	d.startedAt = append(d.startedAt, time.Now())
	go func() {
		_ = cmd.Wait() // the exit status is of no use: faults kill the process on purpose
		close(done)
	}()
	return nil
}

// injectSignal sends a signal to the process and counts it as an injected fault.
func (d *daemon) injectSignal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.injectedFaults++
	d.signalledAt = append(d.signalledAt, time.Now())
	_ = d.cmd.Process.Signal(s) // fails if the process has ended
}

func (d *daemon) faultCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.injectedFaults
}

func (d *daemon) exited() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.done
}

// history returns the times of the process's starts and of the signals to it.
func (d *daemon) history() ProcessHistory {
	d.mu.Lock()
	defer d.mu.Unlock()
	return ProcessHistory{Starts: slices.Clone(d.startedAt), Signals: slices.Clone(d.signalledAt), PeakRSSBytes: d.peakRSSBytes}
}

// sampleMemory records the resident set of the process.
func (d *daemon) sampleMemory() {
	d.mu.Lock()
	defer d.mu.Unlock()
	// It fails if the process has just ended.
	if _, rss, err := procs.ProcessUsage(d.cmd.Process.Pid); err == nil {
		d.peakRSSBytes = max(d.peakRSSBytes, rss)
	}
}

// watchMemory samples the memory of all daemons until ctx ends.
func (c *cluster) watchMemory(ctx context.Context) {
	for pause.For(ctx, memoryInterval) {
		for _, d := range c.daemons {
			d.sampleMemory()
		}
	}
}

// tryBeginEnding marks the process as being ended. It returns false if another fault is
// ending it already.
func (d *daemon) tryBeginEnding() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ending {
		return false
	}
	d.ending = true
	return true
}

func (c *cluster) addEngine(config site.EngineConfig) {
	c.mu.Lock()
	c.engineSeq++
	config.ID = fmt.Sprintf("i-%d", c.engineSeq)
	c.mu.Unlock()
	e := &engine{config: config}
	config.ProxyAddr = func(addr string) (string, error) {
		link, err := faultproxy.NewLink(faultproxy.LinkOptions{
			Name: config.ID, Network: faultproxy.TCP, Listen: "127.0.0.1:0", Target: addr,
		})
		if err != nil {
			return "", err
		}
		e.link = link
		return link.Addr(), nil
	}
	config.Deadly = isDeadly
	config.OnDeadly = func() { c.endEngine(e) }
	e.Engine = site.StartEngine(c.store, config)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines = append(c.engines, e)
}

// endEngine ends an engine without an announcement, so that its address refuses
// connections, and starts another one when the store no longer lists it. It does nothing
// if the engine was ended before.
func (c *cluster) endEngine(e *engine) {
	if !c.beginReplacement(e) {
		return
	}
	defer c.replacements.Done()
	e.link.Close()
	e.Crash()
	pause.For(context.Background(), entryTTL)
	e.ExpireEntry()
	c.addEngine(e.config)
}

// pickEngine returns a live engine for the target number of a fault. A third of the
// targets select engines without a model.
func (c *cluster) pickEngine(target int) *engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var candidates []*engine
	for _, e := range c.engines {
		if (e.config.Service == site.PlainService) == (target%3 == 0) {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		candidates = c.engines
	}
	return candidates[target/3%len(candidates)]
}

// beginReplacement removes e from the live engines and counts its replacement, for which
// close waits. It returns false if e was removed before, or close has begun.
func (c *cluster) beginReplacement(e *engine) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || !c.removeEngineLocked(e) {
		return false
	}
	c.replacements.Add(1)
	return true
}

// removeEngine removes e from the live engines. It returns false if e was removed
// before.
func (c *cluster) removeEngine(e *engine) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.removeEngineLocked(e)
}

func (c *cluster) removeEngineLocked(e *engine) bool {
	for i, other := range c.engines {
		if other == e {
			c.engines = append(c.engines[:i], c.engines[i+1:]...)
			return true
		}
	}
	return false
}

// close ends all processes and stand-ins of the cluster. It continues paused daemons
// before it kills them.
func (c *cluster) close() {
	// A request may end an engine until the daemons are killed.
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.replacements.Wait()
	for _, d := range c.daemons {
		d.mu.Lock()
		if d.cmd != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill() // fails if the process has ended
		}
		d.mu.Unlock()
		<-d.exited()
		d.storeLink.Close()
		_ = d.logFile.Close()
	}
	for _, e := range c.engines {
		e.Close()
		e.link.Close()
	}
	c.store.Close()
}
