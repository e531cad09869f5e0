package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	frontPort = 8227
	readyPort = 8220
	meshPort  = 7340
	graceS    = 8
)

// daemon is a process of the deploy file's role "front" on a loopback address of its own.
type daemon struct {
	name, ip, binary, settings string
	log                        *os.File
	cmd                        *exec.Cmd
	done                       chan struct{}
}

// machine is what the settings say of a machine and its bounds.
type machine struct {
	cores         float64
	memoryMB      int
	linkMbps      float64
	configApplyMS int
}

// The machines of the small sites, and the small and the large ones of the grown sites.
var (
	smallMachine      = machine{0.272, 206, 700, 2000}
	grownMachine      = machine{0.134, 136, 14, 3000}
	largeGrownMachine = machine{0.8, 536, 200, 3000}
)

// newDaemon writes the settings of a daemon, which reaches the store at storeAddr.
func newDaemon(dir, binary, ip, zone string, number int, storeAddr string, o machine) (*daemon, error) {
	d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, number), ip: ip, binary: binary}
	d.settings = filepath.Join(dir, d.name+".yaml")
	text := fmt.Sprintf(`node_name: %q
role: "front"
machine_class: "front"
serves: ["front"]
ip: %q
zone: %q
region: "r"
zones: {%q: "r"}
listen: {front: "%s:%d", ready: "%s:%d"}
internal_ports: [%d, %d]
seeds: []
first_start: true
limits: {cpu_share: %g, cpu_cores: 1, memory_mb: %d, max_fds: 2870, link_mbps: %g, disk_mb: 0}
data_dir: null
heartbeat_ms: 1200
bounds: {stable_window_ms: 3000, drain_ms: 2000, grace_s: %d, config_apply_ms: %d, strict_revoke: true, revoke_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 283, evacuate_ms: 5000, stall_ms: 5000, fence_checked: true}
platform: {address: %q, form: "log", writes_per_s: 400, reads_per_s: 2000, parts: 12, keep_s: 300, min_ttl_ms: 1000}
`, d.name, ip, zone, zone, ip, frontPort, ip, readyPort, meshPort, meshPort+15, o.cores, o.memoryMB, o.linkMbps, graceS, o.configApplyMS, storeAddr)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, d.name+".log"))
	d.log = log
	return d, err
}

// start starts the process with the words of the deploy file.
func (d *daemon) start() error {
	d.cmd = exec.Command(d.binary, "front", "--metrics-port", "9464")
	d.cmd.Env = append(os.Environ(), "RAGWORTQUAY_NODE_FILE="+d.settings)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.done = done
	go func() {
		_ = d.cmd.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process, by its id.
func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// stop kills the process and waits for its end.
func (d *daemon) stop() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	<-d.done
	_ = d.log.Close()
}

func (d *daemon) front() string { return fmt.Sprintf("%s:%d", d.ip, frontPort) }

// ready asks the daemon as the balancer does.
func (d *daemon) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/ready", d.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon says that it is ready.
func (d *daemon) awaitReady(limit time.Duration) bool {
	return eventually(limit, d.ready)
}

// eventually waits until a condition holds, and reports whether it does.
func eventually(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
