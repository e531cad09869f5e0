package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run. Times
// are seconds since its start. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// line writes one line.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The file is local; what was written is looked at afterwards.
	_, _ = fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// note writes one line, also to the standard output.
func (r *record) note(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
}
