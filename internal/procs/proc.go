// Package procs runs the system's processes on loopback: stand-ins, proxies and
// daemons, for integration tests and experiments. It holds no checks; a check
// reads the stand-ins' journals through it.
package procs

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

const (
	// startTimeout bounds the wait for a process's first line.
	startTimeout = 20 * time.Second
	// maxLineBytes bounds that line.
	maxLineBytes = 4 << 20
)

// Proc is one running process.
type Proc struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// startProc runs the binary and decodes the first line of its output into
// first. Its log goes to dir/name.log.
func startProc(bin, dir, name string, first any, args ...string) (*Proc, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "check the directory", "open the log of %s", name)
	}
	cmd := exec.Command(bin, args...)
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "try again", "pipe of %s", name)
	}
	if err := cmd.Start(); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "check the binary", "start %s", name)
	}
	p := &Proc{Name: name, cmd: cmd, done: make(chan struct{})}
	lines := bufio.NewReaderSize(out, maxLineBytes)
	go p.wait(log)
	if err := p.firstLine(lines, first); err != nil {
		p.Kill()
		return nil, err
	}
	return p, nil
}

// firstLine waits for the line that tells the process's addresses.
func (p *Proc) firstLine(r *bufio.Reader, v any) error {
	type result struct {
		line []byte
		err  error
	}
	got := make(chan result, 1)
	go func() {
		line, err := r.ReadBytes('\n')
		got <- result{line, err}
		_, _ = io.Copy(io.Discard, r) // a full pipe would block the process
	}()
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case res := <-got:
		if res.err != nil {
			return fault.Wrap(fault.Internal, res.err, "read its log", "%s ended before it was ready", p.Name)
		}
		return json.Unmarshal(res.line, v)
	case <-timer.C:
		return fault.New(fault.Timeout, "read its log", "%s printed no address", p.Name)
	}
}

func (p *Proc) wait(log *os.File) {
	p.err = p.cmd.Wait()
	_ = log.Close()
	close(p.done)
}

// PID returns the process id.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// Kill ends the process at once and waits for its end.
func (p *Proc) Kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Pause stops the process where it is; Resume lets it go on.
func (p *Proc) Pause() { p.signal(syscall.SIGSTOP) }

// Resume ends a Pause.
func (p *Proc) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks the process to end gracefully.
func (p *Proc) Terminate() { p.signal(syscall.SIGTERM) }

// Wait waits for the end and returns the process's error, or ctx's.
func (p *Proc) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Running reports whether the process has not ended.
func (p *Proc) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *Proc) signal(s syscall.Signal) {
	if p.Running() {
		_ = p.cmd.Process.Signal(s)
	}
}

// Usage returns the process's CPU time so far and its resident memory in bytes.
func (p *Proc) Usage() (cpu time.Duration, rss int64, err error) {
	return usage(p.PID())
}

func usage(pid int) (time.Duration, int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	return parseStat(string(data))
}
