package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// chunkBytes is the size of the read buffer.
	chunkBytes = 32 << 10
	// queueChunks is the number of chunks read ahead in one direction.
	queueChunks = 64
)

// chunk is data that was read from one side and must not be forwarded before due.
type chunk struct {
	data []byte
	due  time.Time
}

// connPair is a client's connection and the matching connection to the target.
type connPair struct {
	client, target *net.TCPConn
	clientIP       net.IP
	state          *faultState
	aborted        chan struct{} // closed when both connections have been reset
	blackHoled     chan struct{} // closed when all traffic is permanently blocked

	abortOnce, blackHoleOnce sync.Once

	// awaitingResponse is set when data is written to the target: the next data from
	// the target is the start of a response.
	awaitingResponse atomic.Bool
}

func newConnPair(client, target *net.TCPConn, s *faultState) *connPair {
	from := client.RemoteAddr().(*net.TCPAddr).IP
	return &connPair{
		client: client, target: target, clientIP: from, state: s,
		aborted: make(chan struct{}), blackHoled: make(chan struct{}),
	}
}

// faults returns the faults that apply to the client, and a channel that is closed
// when they change.
func (p *connPair) faults() (Faults, <-chan struct{}) {
	f, changed := p.state.get()
	return f.forClient(p.clientIP), changed
}

// run forwards until both directions have ended, then closes both connections.
func (p *connPair) run() {
	var wg sync.WaitGroup
	for d, ends := range [...]struct{ src, dst *net.TCPConn }{
		ToTarget: {src: p.client, dst: p.target},
		ToClient: {src: p.target, dst: p.client},
	} {
		queue := make(chan chunk, queueChunks)
		wg.Go(func() { p.readLoop(ends.src, queue) })
		wg.Go(func() { p.writeLoop(Direction(d), ends.dst, queue) })
	}
	wg.Wait()
	_ = p.client.Close()
	_ = p.target.Close()
}

// readLoop queues the data from src with the time at which each chunk is due.
func (p *connPair) readLoop(src *net.TCPConn, queue chan<- chunk) {
	defer close(queue)
	for {
		buf := make([]byte, chunkBytes)
		n, err := src.Read(buf)
		f, _ := p.faults()
		if n > 0 && !p.enqueue(queue, chunk{data: buf[:n], due: time.Now().Add(f.delay())}) {
			return
		}
		if err != nil {
			return
		}
	}
}

// enqueue reports false if the pair was aborted.
func (p *connPair) enqueue(queue chan<- chunk, c chunk) bool {
	select {
	case queue <- c:
		return true
	case <-p.aborted:
		return false
	}
}

// writeLoop forwards the queued chunks to dst as far as the faults allow, then
// half-closes dst.
func (p *connPair) writeLoop(d Direction, dst *net.TCPConn, queue <-chan chunk) {
	var forwarded int64
	for c := range queue {
		if d == ToClient && p.awaitingResponse.Swap(false) && p.state.takeResponseDrop() {
			p.abort()
			return
		}
		if !p.waitUntil(c.due) || !p.forward(d, dst, c.data, &forwarded) {
			return
		}
	}
	if p.waitAllowance(d, forwarded) != 0 {
		_ = dst.CloseWrite()
	}
}

// forward writes data to dst, split as the faults' byte limit requires. It reports
// false if the pair was aborted.
func (p *connPair) forward(d Direction, dst *net.TCPConn, data []byte, forwarded *int64) bool {
	for len(data) > 0 {
		allowed := p.waitAllowance(d, *forwarded)
		if allowed == 0 {
			return false
		}
		part := data
		if allowed > 0 && int64(len(part)) > allowed {
			part = part[:allowed]
		}
		if d == ToTarget {
			p.awaitingResponse.Store(true)
		}
		n, err := dst.Write(part)
		*forwarded += int64(n)
		data = data[n:]
		if err != nil {
			p.abort()
			return false
		}
	}
	return true
}

// waitAllowance waits until more bytes than those already forwarded may be sent in
// direction d, and returns how many; a negative result means no limit, 0 that the pair was aborted.
func (p *connPair) waitAllowance(d Direction, forwarded int64) int64 {
	for {
		f, changed := p.faults()
		allowed := f.allowedBytes(d, forwarded)
		select {
		case <-p.blackHoled:
			<-p.aborted
			return 0
		case <-p.aborted:
			return 0
		default:
		}
		if allowed != 0 {
			return allowed
		}
		select {
		case <-changed:
		case <-p.blackHoled:
		case <-p.aborted:
		}
	}
}

// waitUntil reports false if the pair is aborted before due.
func (p *connPair) waitUntil(due time.Time) bool {
	d := time.Until(due)
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.aborted:
		return false
	}
}

// abort resets both connections.
func (p *connPair) abort() {
	p.abortOnce.Do(func() { close(p.aborted) })
	resetConn(p.client)
	resetConn(p.target)
}

// blackHole permanently blocks all traffic of the pair.
func (p *connPair) blackHole() { p.blackHoleOnce.Do(func() { close(p.blackHoled) }) }

// resetConn closes c with a TCP RST, so that its peer gets an error instead of EOF.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
