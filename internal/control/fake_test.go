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

type stream struct {
	oldest  uint64
	records []platform.Record
}

func (s *stream) next() uint64 { return s.oldest + uint64(len(s.records)) }

// fakeLog is an in-process log with a switch for each of its faults.
type fakeLog struct {
	mu      sync.Mutex
	epoch   uint32
	streams map[string]*stream
	// loseAnswers is the number of appends that take effect and then fail.
	loseAnswers int
	refuse      bool
}

func newFakeLog() *fakeLog {
	return &fakeLog{epoch: 1, streams: make(map[string]*stream)}
}

func (l *fakeLog) with(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn()
}

func (l *fakeLog) setRefuse(v bool) { l.with(func() { l.refuse = v }) }

// trim drops all records of the control stream.
func (l *fakeLog) trim() {
	l.with(func() {
		s := l.stream(platform.StreamControl)
		s.oldest, s.records = s.next(), nil
	})
}

// reset sets the log up anew under the given epoch.
func (l *fakeLog) reset(epoch uint32) {
	l.with(func() { l.epoch, l.streams = epoch, make(map[string]*stream) })
}

func (l *fakeLog) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
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
	if l.refuse {
		return platform.AppendResponse{}, fault.Refuse(fault.LogDown, "", "refused")
	}
	s := l.stream(name)
	first := s.next()
	for _, r := range records {
		s.records = append(s.records, platform.Record{Offset: s.next(), Data: r})
	}
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return platform.AppendResponse{}, fault.New(fault.LogDown, "", "answer lost")
	}
	return platform.AppendResponse{Epoch: l.epoch, First: first}, nil
}

func (l *fakeLog) Read(_ context.Context, name string, from uint64, limit int) (platform.ReadResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuse {
		return platform.ReadResponse{}, fault.New(fault.LogDown, "", "refused")
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

// gate is one daemon's way to the log, which can be cut alone.
type gate struct {
	*fakeLog
	mu  sync.Mutex
	cut bool
}

func (g *gate) setCut(v bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = v
}

func (g *gate) closed() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut {
		return fault.Refuse(fault.LogDown, "", "cut")
	}
	return nil
}

func (g *gate) Append(ctx context.Context, name string, records [][]byte) (platform.AppendResponse, error) {
	if err := g.closed(); err != nil {
		return platform.AppendResponse{}, err
	}
	return g.fakeLog.Append(ctx, name, records)
}

func (g *gate) Read(ctx context.Context, name string, from uint64, limit int) (platform.ReadResponse, error) {
	if err := g.closed(); err != nil {
		return platform.ReadResponse{}, err
	}
	return g.fakeLog.Read(ctx, name, from, limit)
}

// mesh carries calls between managers in one process, through the encoding.
type mesh struct {
	mu    sync.Mutex
	nodes map[string]*Manager
}

func newMesh() *mesh { return &mesh{nodes: make(map[string]*Manager)} }

func (m *mesh) add(addr string, n *Manager) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[addr] = n
}

func (m *mesh) remove(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.nodes, addr)
}

func (m *mesh) get(addr string) *Manager {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nodes[addr]
}

func (m *mesh) addrs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for a := range m.nodes {
		out = append(out, a)
	}
	return out
}

// live returns the ids of the reachable managers, self included.
func (m *mesh) live(self string) []string {
	out := append(port{mesh: m, self: self}.Peers(), self)
	slices.Sort(out)
	return out
}

// reports returns what the reachable managers other than self say of themselves.
func (m *mesh) reports(self string) []quorum.Report {
	var out []quorum.Report
	for _, addr := range (port{mesh: m, self: self}).Peers() {
		if n := m.get(addr); n != nil {
			out = append(out, reportOf(*n.position()))
		}
	}
	return out
}

// port is one manager's end of the mesh.
type port struct {
	mesh *mesh
	self string
}

func (p port) Peers() []string {
	var out []string
	for _, a := range p.mesh.addrs() {
		if a != p.self {
			out = append(out, a)
		}
	}
	return out
}

func (p port) Call(ctx context.Context, addr string, req, resp wire.Message) error {
	node := p.mesh.get(addr)
	if node == nil {
		return fault.Refuse(fault.Unavailable, "", "no daemon at %s", addr)
	}
	body, err := wire.Marshal(req)
	if err != nil {
		return err
	}
	answer, err := node.Handlers()[req.WireType()](ctx, p.self, body)
	if err != nil {
		return err
	}
	out, err := wire.Marshal(answer)
	if err != nil {
		return err
	}
	return wire.Unmarshal(out, resp)
}
