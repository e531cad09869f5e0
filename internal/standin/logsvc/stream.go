package logsvc

import (
	"sync"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/platform"
)

// stream is an append-only sequence of records, protected by its own lock.
type stream struct {
	mu           sync.Mutex
	oldestOffset uint64
	records      []platform.Record
}

// append appends records with the time now and returns the offset of the first.
func (s *stream) append(data [][]byte, now time.Time, o Options) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.nextOffset()
	for i, d := range data {
		s.records = append(s.records, platform.Record{Offset: first + uint64(i), AppendUnixMS: now.UnixMilli(), Data: d})
	}
	s.expire(now, o)
	return first
}

// read returns up to limit records, starting at offset from; ok is false if the
// record at from was deleted.
func (s *stream) read(from uint64, limit int, now time.Time, o Options) (response platform.ReadResponse, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now, o)
	response = platform.ReadResponse{Oldest: s.oldestOffset, Next: s.nextOffset(), Records: []platform.Record{}}
	if from < s.oldestOffset {
		return response, false
	}
	if from >= response.Next {
		return response, true
	}
	tail := s.records[from-s.oldestOffset:]
	response.Records = append(response.Records, tail[:min(limit, len(tail))]...)
	return response, true
}

func (s *stream) nextOffset() uint64 { return s.oldestOffset + uint64(len(s.records)) }

// expire deletes the records beyond the retention limits. s.mu must be held.
func (s *stream) expire(now time.Time, o Options) {
	if o.MaxRecords > 0 {
		s.dropOldest(len(s.records) - o.MaxRecords)
	}
	if o.MaxAge <= 0 {
		return
	}
	oldestUnixMS, expired := now.Add(-o.MaxAge).UnixMilli(), 0
	for expired < len(s.records) && s.records[expired].AppendUnixMS < oldestUnixMS {
		expired++
	}
	s.dropOldest(expired)
}

// dropOldest deletes the oldest n records. s.mu must be held.
func (s *stream) dropOldest(n int) {
	if n <= 0 {
		return
	}
	s.records = append([]platform.Record(nil), s.records[n:]...)
	s.oldestOffset += uint64(n)
}

func (s *stream) trim(keep int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropOldest(len(s.records) - max(keep, 0))
}
