// Command standin-3 plays the clients, the engines, the store and the operator of the
// scripts in review/11 to review/15. It starts daemons of this project as processes.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/procs"
	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

const (
	frontPort, readyPort, meshPort, metricsPort = 8227, 8220, 7340, 9464
	// maxFDs is max_fds of the pages' example of the settings.
	maxFDs = 2870
	// apiKey is the key of the only tenant.
	apiKey = "n2ctnfzs989anu6wsjnb"
	// startTimeout bounds the time until a daemon is ready.
	startTimeout = 20 * time.Second
)

// daemon is one process under test.
type daemon struct {
	ip       string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	done     chan struct{}
}

// bed holds the store, the daemons and the record of one script.
type bed struct {
	dir     string
	store   *site.Store
	daemons []*daemon
	began   time.Time

	mu     sync.Mutex
	record *os.File
}

// newBed makes a bed whose record is written to the named file.
func newBed(record string) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &bed{dir: dir, store: site.NewStore(), began: time.Now(), record: f}, nil
}

// note writes a line to the record.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f s  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// startDaemons starts n daemons by the run line of the deploy file and waits until all
// are ready. Each process has the limit of descriptors that its settings name.
func (b *bed) startDaemons(n int) error {
	for i := range n {
		ip := procs.LoopbackIP(os.Getpid(), i+1)
		s := site.DaemonSettings{
			NodeName: fmt.Sprintf("front-a-%d", i+1), Zone: "a", IP: ip, FrontPort: frontPort, ReadyPort: readyPort, MeshPort: meshPort,
			StoreAddr: b.store.Addr(), FirstStart: true, ConfigApplyMS: 2000, RevokeMS: 5000, StallMS: 5000, GraceS: 8, MaxFDs: maxFDs,
		}
		d := &daemon{ip: ip, settings: filepath.Join(b.dir, s.NodeName+".yaml")}
		if err := os.WriteFile(d.settings, s.YAML(), 0o600); err != nil {
			return err
		}
		f, err := os.Create(filepath.Join(b.dir, s.NodeName+".log"))
		if err != nil {
			return err
		}
		d.log = f
		if err := d.start(); err != nil {
			return err
		}
		b.daemons = append(b.daemons, d)
	}
	for _, d := range b.daemons {
		if err := d.awaitReady(); err != nil {
			return err
		}
	}
	b.note("%d daemons are ready", n)
	return nil
}

func (d *daemon) start() error {
	d.cmd = exec.Command("bash", "-c", "ulimit -n "+strconv.Itoa(maxFDs)+" && exec target/ragwortquay front --metrics-port "+strconv.Itoa(metricsPort))
	d.cmd.Env = append(os.Environ(), "RAGWORTQUAY_NODE_FILE="+d.settings)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.done = done
	cmd := d.cmd
	go func() {
		_ = cmd.Wait() // the exit status is of no use: the script ends the process
		close(done)
	}()
	return nil
}

func (d *daemon) frontAddr() string { return net.JoinHostPort(d.ip, strconv.Itoa(frontPort)) }

func (d *daemon) readyURL() string {
	return "http://" + net.JoinHostPort(d.ip, strconv.Itoa(readyPort)) + "/ready"
}

// probe asks a daemon whether it is ready, as the platform does once a second, and
// returns the status, or 0 without an answer.
func (d *daemon) probe(c *http.Client) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, d.readyURL(), nil)
	if err != nil {
		return 0
	}
	resp, err := c.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (d *daemon) awaitReady() error {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.probe(c) == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the daemon at %s is not ready", d.ip)
}

// descriptors returns the number of open descriptors of the process.
func (d *daemon) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	return len(list)
}

// close ends all processes and stand-ins that the bed has started.
func (b *bed) close() {
	for _, d := range b.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill() // fails if the process has ended
			<-d.done
		}
		_ = d.log.Close()
	}
	b.store.Close()
	_ = b.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	}
}
