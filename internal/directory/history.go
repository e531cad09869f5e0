package directory

import (
	"slices"
	"sync"
)

// maxHistoryRecords and maxHistoryBytes bound the records of a topic that a History
// keeps. They cover some seconds of a large fleet's announcements.
const (
	maxHistoryRecords = 2048
	maxHistoryBytes   = 512 << 10
)

// History keeps the latest records of a topic that this daemon has applied, for peers that
// have missed them. A record that a later one supersedes is kept as a record without key
// and value, so that the offsets stay consecutive. The zero value is ready to use. It is
// safe for concurrent use.
type History struct {
	mu sync.Mutex
	// era is the era of the records.
	era uint64
	// records have consecutive offsets.
	records []Record
	bytes   int
}

// Add adds records of an era that follow each other. Records that do not follow those
// added before, or are of a higher era, replace them. A record whose element of supersedes
// is set takes the place of the earlier ones of its key; supersedes may be nil. It returns
// the number of records that were superseded.
func (h *History) Add(era uint64, records []Record, supersedes []bool) (superseded int) {
	if len(records) == 0 {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if era < h.era {
		return 0
	}
	if n := len(h.records); n > 0 && (era != h.era || h.records[n-1].Offset+1 != records[0].Offset) {
		h.records, h.bytes = nil, 0
	}
	h.era = era
	for i, r := range records {
		if i < len(supersedes) && supersedes[i] {
			superseded += h.clearKey(r.Key)
		}
		h.records = append(h.records, r)
		h.bytes += len(r.Value)
	}
	drop := 0
	for len(h.records)-drop > maxHistoryRecords || h.bytes > maxHistoryBytes && drop < len(h.records) {
		h.bytes -= len(h.records[drop].Value)
		drop++
	}
	h.records = slices.Delete(h.records, 0, drop)
	return superseded
}

// clearKey removes the key and the value of all records of a key, and returns their
// number. The caller holds the lock.
func (h *History) clearKey(key string) (cleared int) {
	for i := range h.records {
		if r := &h.records[i]; r.Key == key && key != "" {
			h.bytes -= len(r.Value)
			*r = Record{Offset: r.Offset}
			cleared++
		}
	}
	return cleared
}

// First returns the position of the oldest record that is kept. It reports false if there
// is none.
func (h *History) First() (Position, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.records) == 0 {
		return Position{}, false
	}
	return Position{h.era, h.records[0].Offset}, true
}

// From returns the records from a position on, or nil if one of them is not kept.
func (h *History) From(from Position) []Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	offset := from.Offset
	if len(h.records) == 0 || from.Era != h.era || offset < h.records[0].Offset {
		return nil
	}
	i := offset - h.records[0].Offset
	if i >= uint64(len(h.records)) {
		return nil
	}
	return append([]Record(nil), h.records[i:]...)
}
