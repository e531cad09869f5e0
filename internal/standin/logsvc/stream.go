package logsvc

import (
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/platform"
)

// stream is one sequence of records under its own lock.
type stream struct {
	mu      sync.Mutex
	oldest  uint64
	records []platform.Record
}

func (s *stream) append(data [][]byte, now time.Time, o Options) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.next()
	for i, d := range data {
		s.records = append(s.records, platform.Record{Offset: first + uint64(i), AppendUnixMS: now.UnixMilli(), Data: d})
	}
	s.expire(now, o)
	return first
}

// read returns records from offset from; ok is false if from was trimmed.
func (s *stream) read(from uint64, limit int, now time.Time, o Options) (a platform.ReadResponse, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now, o)
	a = platform.ReadResponse{Oldest: s.oldest, Next: s.next(), Records: []platform.Record{}}
	if from < s.oldest {
		return a, false
	}
	if from >= a.Next {
		return a, true
	}
	tail := s.records[from-s.oldest:]
	a.Records = append(a.Records, tail[:min(limit, len(tail))]...)
	return a, true
}

func (s *stream) next() uint64 { return s.oldest + uint64(len(s.records)) }

// expire drops what retention no longer keeps.
func (s *stream) expire(now time.Time, o Options) {
	if o.MaxRecords > 0 {
		s.drop(len(s.records) - o.MaxRecords)
	}
	if o.MaxAge <= 0 {
		return
	}
	limit, n := now.Add(-o.MaxAge).UnixMilli(), 0
	for n < len(s.records) && s.records[n].AppendUnixMS < limit {
		n++
	}
	s.drop(n)
}

func (s *stream) drop(n int) {
	if n <= 0 {
		return
	}
	s.records = append([]platform.Record(nil), s.records[n:]...)
	s.oldest += uint64(n)
}

func (s *stream) trim(keep int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(len(s.records) - max(keep, 0))
}
