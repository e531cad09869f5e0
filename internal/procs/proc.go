// Package procs runs daemons, stand-ins and proxies on loopback for integration
// tests and benchmarks. It contains no checks; callers check the stand-ins'
// journals, which it reads.
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
	// startTimeout is the time within which a process must print its first line.
	startTimeout = 20 * time.Second
	// maxLineBytes is the buffer size for that line.
	maxLineBytes = 4 << 20
)

// Proc is a child process.
type Proc struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	err  error         // result of cmd.Wait, set before done is closed
}

// startProc starts the binary, waits for the first line of its standard output and
// decodes it into first. Standard error is appended to dir/name.log.
func startProc(bin, dir, name string, first any, args ...string) (*Proc, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "check the directory", "open the log file of %s", name)
	}
	cmd := exec.Command(bin, args...)
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "try again", "create the output pipe of %s", name)
	}
	if err := cmd.Start(); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "check the binary", "start %s", name)
	}
	p := &Proc{Name: name, cmd: cmd, done: make(chan struct{})}
	lines := bufio.NewReaderSize(out, maxLineBytes)
	go p.wait(log)
	if err := p.readFirstLine(lines, first); err != nil {
		p.Kill()
		return nil, err
	}
	return p, nil
}

// readFirstLine waits for the first line of the output, which holds the process's
// addresses, and decodes it into v.
func (p *Proc) readFirstLine(r *bufio.Reader, v any) error {
	type result struct {
		line []byte
		err  error
	}
	got := make(chan result, 1)
	go func() {
		line, err := r.ReadBytes('\n')
		got <- result{line, err}
		_, _ = io.Copy(io.Discard, r) // an undrained pipe would block the process once full
	}()
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case res := <-got:
		if res.err != nil {
			return fault.Wrap(fault.Internal, res.err, "read its log", "%s ended before it printed its addresses", p.Name)
		}
		return json.Unmarshal(res.line, v)
	case <-timer.C:
		return fault.New(fault.Timeout, "read its log", "%s printed no addresses within %s", p.Name, startTimeout)
	}
}

// wait waits for the process to end and records its result.
func (p *Proc) wait(log *os.File) {
	p.err = p.cmd.Wait()
	_ = log.Close()
	close(p.done)
}

// PID returns the process id.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Proc) Kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Pause suspends the process with SIGSTOP until Resume.
func (p *Proc) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a process that Pause has suspended.
func (p *Proc) Resume() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which asks the process to shut down gracefully.
func (p *Proc) Terminate() { p.signal(syscall.SIGTERM) }

// Wait waits until the process has ended and returns its error, or ctx's error if
// ctx is done first.
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

// Usage returns the process's CPU time so far and its resident set size in bytes.
func (p *Proc) Usage() (cpu time.Duration, rss int64, err error) {
	return ProcessUsage(p.PID())
}

// ProcessUsage returns the CPU time so far and the resident set size in bytes of a
// process.
func ProcessUsage(pid int) (time.Duration, int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	return parseStat(string(data))
}
