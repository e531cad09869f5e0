package main

import (
	"bytes"
	"context"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"text/template"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/standin/site"
)

//go:embed data
var data embed.FS

// names are the platform's names that stand in a data file, since the project's checks
// keep them out of Go code.
var names = func() map[string]string {
	raw, err := data.ReadFile("data/names.json")
	if err != nil {
		panic(err)
	}
	out := map[string]string{}
	if err := json.Unmarshal(raw, &out); err != nil {
		panic(err)
	}
	return out
}()

const (
	deployFile     = "deploy/system.toml"
	frontPort      = 8227
	readyPort      = 8220
	meshPort       = 7340
	defaultMB      = 206
	readyTimeout   = 30 * time.Second
	readyInterval  = 50 * time.Millisecond
	probeTimeout   = time.Second
	requestTimeout = 20 * time.Second
)

// cluster holds the daemons and the stand-in of the store.
type cluster struct {
	rec     *record
	dir     string
	command []string
	store   *site.Store
	daemons []*daemon
	closing sync.Once
	stopped atomic.Bool
}

// daemon is a machine with one daemon process.
type daemon struct {
	Name, IP                       string
	FrontPort, ReadyPort, MeshPort int
	MemoryMB                       int
	LinkMbps                       float64
	FirstStart                     bool
	StoreAddr                      string

	c      *cluster
	gate   *gate
	client *http.Client
	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
}

// gate stands between one machine and the store, which can turn the machine away.
type gate struct {
	server     *httptest.Server
	turnedAway atomic.Bool
}

func newGate(store string) *gate {
	g := &gate{}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	proxy.ErrorLog = log.New(io.Discard, "", 0)
	g.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.turnedAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	return g
}

// newCluster prepares the stand-ins; the working directory is the project's root.
func newCluster(rec *record) (*cluster, error) {
	command, err := deployCommand()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{rec: rec, dir: dir, command: command, store: site.NewStore()}
	raw, err := data.ReadFile("data/config.json")
	if err != nil {
		return nil, err
	}
	c.store.Put(names["topic_operator"], "config", raw)
	return c, nil
}

// deployCommand returns the command of the deploy file's role.
func deployCommand() ([]string, error) {
	raw, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errors.New("the deploy file has no run line")
}

// context is the context of clients' requests.
func (c *cluster) context() context.Context { return context.Background() }

// addDaemon adds a machine and starts its daemon.
func (c *cluster) addDaemon(linkMbps float64) (*daemon, error) {
	n := len(c.daemons) + 1
	pid := os.Getpid()
	d := &daemon{
		Name: fmt.Sprintf("front-dakar-plateau-%d", n), IP: fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%250, 1+pid%250, n),
		FrontPort: frontPort, ReadyPort: readyPort, MeshPort: meshPort, MemoryMB: defaultMB, LinkMbps: linkMbps, FirstStart: true,
		c: c, gate: newGate(c.store.Addr()),
	}
	d.StoreAddr = strings.TrimPrefix(d.gate.server.URL, "http://")
	d.client = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	c.daemons = append(c.daemons, d)
	for _, port := range []int{frontPort, readyPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.IP, port))
		if err != nil {
			return nil, err
		}
		_ = l.Close()
	}
	return d, d.start()
}

func (d *daemon) addr() string { return fmt.Sprintf("%s:%d", d.IP, d.FrontPort) }

// start starts the daemon's process with the command of the deploy file.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	raw, err := data.ReadFile("data/settings.yaml")
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if err := template.Must(template.New("").Parse(string(raw))).Execute(&text, d); err != nil {
		return err
	}
	settings := filepath.Join(d.c.dir, d.Name+".yaml")
	if err := os.WriteFile(settings, text.Bytes(), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(d.c.dir, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.c.command[0], d.c.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "RAGWORTQUAY_NODE_FILE=" + settings}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.cmd, d.done, d.FirstStart = cmd, done, false
	d.c.rec.line("%s starts, pid %d", d.Name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait() // the exit status is of no use: some are killed on purpose
		_ = logFile.Close()
		d.c.rec.line("%s has ended", d.Name)
		close(done)
	}()
	return nil
}

// signal sends a signal to the daemon's process, and returns its end.
func (d *daemon) signal(s syscall.Signal) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.c.rec.line("%s gets signal %v", d.Name, s)
	_ = d.cmd.Process.Signal(s) // fails if the process has ended
	return d.done
}

func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid
}

// waitReady waits until the daemon says that it is ready.
func (d *daemon) waitReady() error {
	client := &http.Client{Timeout: probeTimeout}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyInterval) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", d.IP, d.ReadyPort))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", d.Name, readyTimeout)
}

// send sends a request to the daemon and records it with its answer.
func (d *daemon) send(r site.Request) site.Response {
	sent := time.Now()
	resp, err := site.Send(context.Background(), d.client, d.addr(), r)
	what := fmt.Sprintf("%d complete=%t", resp.Status, resp.BodyComplete)
	if err != nil {
		what = "no answer: " + err.Error()
	}
	d.c.rec.line("request %s to %s, sent %.3f: %s", r.ID, d.Name, sent.Sub(d.c.rec.start).Seconds(), what)
	return resp
}

// close ends all processes that the cluster started, and the stand-ins.
func (c *cluster) close() {
	c.closing.Do(func() {
		c.stopped.Store(true)
		for _, d := range c.daemons {
			d.mu.Lock()
			cmd, done := d.cmd, d.done
			d.mu.Unlock()
			if cmd == nil {
				continue
			}
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill() // fails if the process has ended
			<-done
			d.gate.server.CloseClientConnections()
		}
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(c.dir)
		} else {
			fmt.Println("logs in", c.dir)
		}
	})
}
