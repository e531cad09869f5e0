package control

import (
	"context"
	"slices"
	"sync"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/platform"
	"github.com/ragwortquay/ragwortquay/internal/quorum"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

// fakeStream is a stream of a fakeLog; records before oldest are trimmed.
type fakeStream struct {
	oldest  uint64
	records []platform.Record
}

func (s *fakeStream) next() uint64 { return s.oldest + uint64(len(s.records)) }

// fakeLog is an in-process log with faults that tests can inject.
type fakeLog struct {
	mu      sync.Mutex
	epoch   uint32
	streams map[string]*fakeStream
	// loseResponses is the number of further appends that take effect but return
	// an error.
	loseResponses int
	unreachable   bool
}

func newFakeLog() *fakeLog {
	return &fakeLog{epoch: 1, streams: make(map[string]*fakeStream)}
}

// withLock runs fn with the log locked.
func (l *fakeLog) withLock(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn()
}

func (l *fakeLog) setUnreachable(v bool) { l.withLock(func() { l.unreachable = v }) }

// trim drops all records of the control stream.
func (l *fakeLog) trim() {
	l.withLock(func() {
		s := l.stream(platform.StreamControl)
		s.oldest, s.records = s.next(), nil
	})
}

// recreate replaces the log by an empty one with the given epoch.
func (l *fakeLog) recreate(epoch uint32) {
	l.withLock(func() { l.epoch, l.streams = epoch, make(map[string]*fakeStream) })
}

func (l *fakeLog) stream(name string) *fakeStream {
	s, ok := l.streams[name]
	if !ok {
		s = &fakeStream{}
		l.streams[name] = s
	}
	return s
}

// next returns the offset that the next append will get.
func (l *fakeLog) next(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(name).next()
}

func (l *fakeLog) Append(_ context.Context, name string, records [][]byte) (platform.AppendResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return platform.AppendResponse{}, fault.Refuse(fault.LogDown, "", "log is unreachable")
	}
	s := l.stream(name)
	first := s.next()
	for _, r := range records {
		s.records = append(s.records, platform.Record{Offset: s.next(), Data: r})
	}
	if l.loseResponses > 0 {
		l.loseResponses--
		return platform.AppendResponse{}, fault.New(fault.LogDown, "", "response to the append was lost")
	}
	return platform.AppendResponse{Epoch: l.epoch, First: first}, nil
}

func (l *fakeLog) Read(_ context.Context, name string, from uint64, limit int) (platform.ReadResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return platform.ReadResponse{}, fault.New(fault.LogDown, "", "log is unreachable")
	}
	s := l.stream(name)
	if from < s.oldest {
		t := platform.TrimmedResponse{Epoch: l.epoch, Oldest: s.oldest, Next: s.next()}
		return platform.ReadResponse{}, &platform.TrimmedError{Stream: name, From: from, TrimmedResponse: t}
	}
	out := platform.ReadResponse{Epoch: l.epoch, Oldest: s.oldest, Next: s.next()}
	if from >= s.next() {
		return out, nil
	}
	rest := s.records[from-s.oldest:]
	out.Records = append(out.Records, rest[:min(limit, len(rest))]...)
	return out, nil
}

// logAccess is the connection of one daemon to the log, which can be cut
// independently of the others.
type logAccess struct {
	*fakeLog
	mu  sync.Mutex
	cut bool
}

func (a *logAccess) setCut(v bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cut = v
}

func (a *logAccess) checkCut() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cut {
		return fault.Refuse(fault.LogDown, "", "connection to the log is cut")
	}
	return nil
}

func (a *logAccess) Append(ctx context.Context, name string, records [][]byte) (platform.AppendResponse, error) {
	if err := a.checkCut(); err != nil {
		return platform.AppendResponse{}, err
	}
	return a.fakeLog.Append(ctx, name, records)
}

func (a *logAccess) Read(ctx context.Context, name string, from uint64, limit int) (platform.ReadResponse, error) {
	if err := a.checkCut(); err != nil {
		return platform.ReadResponse{}, err
	}
	return a.fakeLog.Read(ctx, name, from, limit)
}

// fakeNetwork delivers calls between managers in one process, with encoded
// messages.
type fakeNetwork struct {
	mu    sync.Mutex
	nodes map[string]*Manager
}

func newNetwork() *fakeNetwork { return &fakeNetwork{nodes: make(map[string]*Manager)} }

func (f *fakeNetwork) add(addr string, n *Manager) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[addr] = n
}

func (f *fakeNetwork) remove(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.nodes, addr)
}

func (f *fakeNetwork) get(addr string) *Manager {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[addr]
}

func (f *fakeNetwork) addrs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for a := range f.nodes {
		out = append(out, a)
	}
	return out
}

// liveIDs returns the ids of the reachable managers, including self.
func (f *fakeNetwork) liveIDs(self string) []string {
	out := append(endpoint{network: f, self: self}.Peers(), self)
	slices.Sort(out)
	return out
}

// reports returns the reports of the reachable managers other than self.
func (f *fakeNetwork) reports(self string) []quorum.Report {
	var out []quorum.Report
	for _, addr := range (endpoint{network: f, self: self}).Peers() {
		if n := f.get(addr); n != nil {
			out = append(out, reportOf(*n.positionResponse()))
		}
	}
	return out
}

// endpoint is the connection of one manager to the network.
type endpoint struct {
	network *fakeNetwork
	self    string
}

func (e endpoint) Peers() []string {
	var out []string
	for _, a := range e.network.addrs() {
		if a != e.self {
			out = append(out, a)
		}
	}
	return out
}

func (e endpoint) Call(ctx context.Context, addr string, req, resp wire.Message) error {
	node := e.network.get(addr)
	if node == nil {
		return fault.Refuse(fault.Unavailable, "", "no daemon at %s", addr)
	}
	body, err := wire.Marshal(req)
	if err != nil {
		return err
	}
	reply, err := node.Handlers()[req.WireType()](ctx, e.self, body)
	if err != nil {
		return err
	}
	out, err := wire.Marshal(reply)
	if err != nil {
		return err
	}
	return wire.Unmarshal(out, resp)
}
