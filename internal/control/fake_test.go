package control

import (
	"context"
	"errors"
	"sync"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/platform"
)

type stream struct {
	oldest  uint64
	records []platform.Record
}

// fakeLog is an in-process log with a switch for each of its faults.
type fakeLog struct {
	mu      sync.Mutex
	epoch   uint32
	streams map[string]*stream
	reads   int
	// loseAnswers is the number of appends that take effect and then fail.
	loseAnswers int
	refuse      bool
}

func newFakeLog() *fakeLog {
	return &fakeLog{epoch: 1, streams: make(map[string]*stream)}
}

func (l *fakeLog) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() uint64 { return s.oldest + uint64(len(s.records)) }

func (l *fakeLog) Append(_ context.Context, name string, records [][]byte) (platform.AppendAnswer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuse {
		return platform.AppendAnswer{}, fault.Refuse(fault.LogDown, "", "refused")
	}
	s := l.stream(name)
	first := s.next()
	for _, r := range records {
		s.records = append(s.records, platform.Record{Offset: s.next(), Data: r})
	}
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return platform.AppendAnswer{}, fault.New(fault.LogDown, "", "answer lost")
	}
	return platform.AppendAnswer{Epoch: l.epoch, First: first}, nil
}

func (l *fakeLog) Read(_ context.Context, name string, from uint64, limit int) (platform.ReadAnswer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.refuse {
		return platform.ReadAnswer{}, fault.Wrap(fault.LogDown, errors.New("refused"), "", "read")
	}
	s := l.stream(name)
	out := platform.ReadAnswer{Epoch: l.epoch, Oldest: s.oldest, Next: s.next()}
	if from >= s.next() {
		return out, nil
	}
	rest := s.records[from-s.oldest:]
	out.Records = append(out.Records, rest[:min(limit, len(rest))]...)
	return out, nil
}
