package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLines bounds the lines that wait to be written: a few megabytes at most.
	queueLines = 4096
	// errorReserve is the part of the queue that only errors may use.
	errorReserve = 512
	// linesPerSecond and burstLines bound the volume of lines that are no errors;
	// a storm of refusals at 200 requests a second stays below.
	linesPerSecond = 600
	burstLines     = 1200
	// droppedEvery is how often dropped lines are told of.
	droppedEvery = time.Second
)

// AsyncWriter writes lines without making their writers wait. Lines that are too many
// are dropped, ordinary ones before errors, and counted.
type AsyncWriter struct {
	out     io.Writer
	queue   chan []byte
	limit   *rate.Limiter
	dropped [2]atomic.Int64 // ordinary lines and errors
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter starts writing to out; Close ends it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{
		out: out, queue: make(chan []byte, queueLines), done: make(chan struct{}),
		limit: rate.NewLimiter(linesPerSecond, burstLines),
	}
	go a.run()
	return a
}

var errorMark = []byte(`"level":"ERROR"`)

// Write takes one line. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	kind := 0
	if bytes.Contains(line, errorMark) {
		kind = 1
	}
	full := kind == 0 && (len(a.queue) > queueLines-errorReserve || !a.limit.Allow())
	if full {
		a.dropped[kind].Add(1)
		return len(line), nil
	}
	select {
	case a.queue <- bytes.Clone(line):
	default:
		a.dropped[kind].Add(1)
	}
	return len(line), nil
}

// Dropped returns the numbers of ordinary lines and errors dropped so far.
func (a *AsyncWriter) Dropped() (ordinary, errors int64) {
	return a.dropped[0].Load(), a.dropped[1].Load()
}

// Close writes what waits and ends. Nothing may be written after it.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { close(a.queue) })
	<-a.done
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	var told [2]int64
	ticker := time.NewTicker(droppedEvery)
	defer ticker.Stop()
	for {
		select {
		case line, open := <-a.queue:
			if !open {
				return
			}
			a.put(line)
		case <-ticker.C:
			ordinary, errs := a.Dropped()
			if now := [2]int64{ordinary, errs}; now != told {
				a.put(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"ordinary\":%d,\"errors\":%d}\n", ordinary-told[0], errs-told[1]))
				told = now
			}
		}
	}
}

func (a *AsyncWriter) put(line []byte) {
	// There is nowhere left to report a failure of the log's own writer.
	_, _ = a.out.Write(line)
}
