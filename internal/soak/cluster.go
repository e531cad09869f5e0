package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/faultproxy"
	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/site"
	"github.com/ragwortquay/ragwortquay/platform"
)

const (
	// daemonCount is the number of daemonCount: one may be lost while two remain.
	daemonCount = 3
	// failureDomains are the engines' failureDomains, domainEngines the engines of each: a
	// large and a small group, and a spare.
	failureDomains       = 2
	enginesPerDomain = site.LargeGroupSize + site.SmallGroupSize + 1
	plainEngineCount  = 2
	// eventsPerStream and eventPause make a stream last long enough to meet faults.
	eventsPerStream = 40
	eventInterval   = 10 * time.Millisecond
	// plainServiceTime is the time that engines without models take for a request.
	plainServiceTime = 20 * time.Millisecond
	frontPort = 8227
	readyPort = 8220
	meshPort  = 7340
	gracePeriodS    = 4
	configMS  = 2000
	revokeMS  = 3000
	stallMS   = 2000
	// exitSlack is added to the grace time before a daemon counts as stuck.
	exitSlack = time.Second
	// lapse is the time after which the store drops the entry of a dead engine:
	// three of its heartbeats.
	lapse = 1200 * time.Millisecond
)

// daemon is one daemon's process, which may be started several times.
type daemon struct {
	number int
	addr   string
	file   string
	log    *os.File
	store  *faultproxy.Link

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	harmed  int // faults on the process so far
	stopped bool
}

// engine is an engine with the link before it.
type engine struct {
	*site.Engine
	config site.EngineConfig
	link   *faultproxy.Link
}

// cluster is the system under test.
type cluster struct {
	binary, dir string
	store       *site.Store
	daemons     []*daemon

	mu      sync.Mutex
	engines []*engine
	number  int
}

func newCluster(binary, dir string) (*cluster, error) {
	c := &cluster{binary: binary, dir: dir, store: site.NewStore()}
	for i := range failureDomains * enginesPerDomain {
		c.addEngine(site.EngineConfig{
			Service: site.ModelService, Zone: "a", FailureDomain: fmt.Sprintf("d%d", i/enginesPerDomain),
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
	m := site.DaemonSettings{
		NodeName: fmt.Sprintf("front-%d", i), Zone: "a", IP: ip, FrontPort: frontPort, ReadyPort: readyPort, MeshPort: meshPort,
		StoreAddr: link.Addr(), FirstStart: true, ConfigApplyMS: configMS, RevokeMS: revokeMS, StallMS: stallMS, GraceS: gracePeriodS,
	}
	d := &daemon{number: i, addr: fmt.Sprintf("%s:%d", ip, frontPort), store: link, file: filepath.Join(c.dir, m.NodeName+".yaml")}
	if err := os.WriteFile(d.file, m.YAML(), 0o600); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "check the directory", "write the settings")
	}
	d.log, err = os.OpenFile(filepath.Join(c.dir, m.NodeName+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "check the directory", "open the log")
	}
	return d, nil
}

func (d *daemon) start(binary string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	cmd := exec.Command(binary, "front")
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+d.file)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	if err := cmd.Start(); err != nil {
		return fault.Wrap(fault.Internal, err, "check the binary", "start daemon %d", d.number)
	}
	done := make(chan struct{})
	d.cmd, d.done, d.stopped = cmd, done, false
	go func() {
		_ = cmd.Wait() // how it ended is read from its log
		close(done)
	}()
	return nil
}

// signal sends a signal to the process and counts it as a fault.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.harmed++
	_ = d.cmd.Process.Signal(s) // it may have ended
}

func (d *daemon) harms() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.harmed
}

func (d *daemon) ended() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.done
}

// claim reports whether the process may be ended now, and marks it.
func (d *daemon) claim() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return false
	}
	d.stopped = true
	return true
}

func (c *cluster) addEngine(config site.EngineConfig) {
	c.mu.Lock()
	c.number++
	config.ID = fmt.Sprintf("i-%d", c.number)
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
	e.Engine = site.StartEngine(c.store, config)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines = append(c.engines, e)
}

// engine returns an engine that lives, in a third of the cases one without models.
func (c *cluster) engine(target int) *engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var some []*engine
	for _, e := range c.engines {
		if (e.config.Service == site.PlainService) == (target%3 == 0) {
			some = append(some, e)
		}
	}
	if len(some) == 0 {
		some = c.engines
	}
	return some[target/3%len(some)]
}

// remove takes an engine out of those that live, unless it was taken before.
func (c *cluster) remove(e *engine) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, o := range c.engines {
		if o == e {
			c.engines = append(c.engines[:i], c.engines[i+1:]...)
			return true
		}
	}
	return false
}

// close ends all that the cluster started.
func (c *cluster) close() {
	for _, d := range c.daemons {
		d.mu.Lock()
		if d.cmd != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill() // it may have ended
		}
		d.mu.Unlock()
		<-d.ended()
		d.store.Close()
		_ = d.log.Close()
	}
	for _, e := range c.engines {
		e.Close()
		e.link.Close()
	}
	c.store.Close()
}
