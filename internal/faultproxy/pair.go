package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// chunkBytes bounds one read.
	chunkBytes = 32 << 10
	// queueChunks bounds what is read ahead in one direction.
	queueChunks = 64
)

// chunk is data on its way; a chunk without data is the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}

// pair is one client's connection and the one to the target.
type pair struct {
	client, target *net.TCPConn
	from           net.IP
	switches       *switches
	gone           chan struct{} // closed when the pair is broken
	hush           chan struct{} // closed when it is silent for good

	goneOnce, hushOnce sync.Once

	// asked is set by data to the target: the next data back begins an answer.
	asked atomic.Bool
}

func newPair(client, target *net.TCPConn, s *switches) *pair {
	from := client.RemoteAddr().(*net.TCPAddr).IP
	return &pair{
		client: client, target: target, from: from, switches: s,
		gone: make(chan struct{}), hush: make(chan struct{}),
	}
}

// faults returns the faults for this client and the signal of their change.
func (p *pair) faults() (Faults, <-chan struct{}) {
	f, changed := p.switches.get()
	return f.of(p.from), changed
}

// run forwards until both directions have ended.
func (p *pair) run() {
	var wg sync.WaitGroup
	for d, ends := range [...]struct{ src, dst *net.TCPConn }{
		ToTarget: {src: p.client, dst: p.target},
		ToClient: {src: p.target, dst: p.client},
	} {
		queue := make(chan chunk, queueChunks)
		wg.Go(func() { p.read(ends.src, queue) })
		wg.Go(func() { p.write(Direction(d), ends.dst, queue) })
	}
	wg.Wait()
	_ = p.client.Close()
	_ = p.target.Close()
}

// read queues what src sends, stamped with the time at which it may pass.
func (p *pair) read(src *net.TCPConn, queue chan<- chunk) {
	defer close(queue)
	for {
		buf := make([]byte, chunkBytes)
		n, err := src.Read(buf)
		f, _ := p.faults()
		if n > 0 && !p.push(queue, chunk{data: buf[:n], due: time.Now().Add(f.delay())}) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (p *pair) push(queue chan<- chunk, c chunk) bool {
	select {
	case queue <- c:
		return true
	case <-p.gone:
		return false
	}
}

// write passes on what is queued, as far as the faults allow.
func (p *pair) write(d Direction, dst *net.TCPConn, queue <-chan chunk) {
	var passed int64
	for c := range queue {
		if d == ToClient && p.asked.Swap(false) && p.switches.takeAnswer() {
			p.cut()
			return
		}
		if !p.waitUntil(c.due) || !p.pass(d, dst, c.data, &passed) {
			return
		}
	}
	if p.mayPass(d, passed) != 0 {
		_ = dst.CloseWrite()
	}
}

// pass writes data in as many pieces as the allowance asks for.
func (p *pair) pass(d Direction, dst *net.TCPConn, data []byte, passed *int64) bool {
	for len(data) > 0 {
		allowed := p.mayPass(d, *passed)
		if allowed == 0 {
			return false
		}
		part := data
		if allowed > 0 && int64(len(part)) > allowed {
			part = part[:allowed]
		}
		if d == ToTarget {
			p.asked.Store(true)
		}
		n, err := dst.Write(part)
		*passed += int64(n)
		data = data[n:]
		if err != nil {
			p.cut()
			return false
		}
	}
	return true
}

// mayPass waits until bytes may pass and returns how many, below zero for any
// number; 0 means that the pair is broken.
func (p *pair) mayPass(d Direction, passed int64) int64 {
	for {
		f, changed := p.faults()
		allowed := f.allowance(d, passed)
		select {
		case <-p.hush:
			<-p.gone
			return 0
		case <-p.gone:
			return 0
		default:
		}
		if allowed != 0 {
			return allowed
		}
		select {
		case <-changed:
		case <-p.hush:
		case <-p.gone:
		}
	}
}

func (p *pair) waitUntil(due time.Time) bool {
	d := time.Until(due)
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.gone:
		return false
	}
}

// cut resets both connections.
func (p *pair) cut() {
	p.goneOnce.Do(func() { close(p.gone) })
	reset(p.client)
	reset(p.target)
}

func (p *pair) silence() { p.hushOnce.Do(func() { close(p.hush) }) }

// reset closes c so that its peer sees an error and not the end of a stream.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
