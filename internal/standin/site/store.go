// Package site is a test double of the users' platform: its metadata store and
// its engines, served over sockets. It implements the guarantees that the safety
// of the system depends on: offsets, the newest record of each key, a single
// owner of a partition, fencing of orders, and the states of groups.
package site

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// partitions is the number of partitions of a topic.
	partitions = 12
	// defaultReadKB is the most that an answer to a read holds, unless the call names
	// another limit, and maxWaitMS the longest wait for a record.
	defaultReadKB = 1024
	maxWaitMS     = 30_000
	// pageItems and pageBytes bound a page of the newest records of each key.
	pageItems = 500
	pageBytes = 1 << 20
	// maxRecordBytes is the maximum size of a record.
	maxRecordBytes = 262_144
	// readHeaderBytes is the size of the end and the first offset before the records.
	readHeaderBytes = 16
)

// Store is the metadata store. Its zero value is not usable; call NewStore.
type Store struct {
	server *httptest.Server

	mu                    sync.Mutex
	topics                map[string]*topic
	groups                map[string]*consumerGroup
	down                  bool
	callCount             int
	appendResponsesToDrop int
	maxBodyBytes          int // of published configurations; 0 for the default
	journal               journal
	// readsLeft is the number of reads by offset of a topic until they are refused, by
	// topic. Topics that are not in it have no such limit.
	readsLeft map[string]int
	// era is sent in the header Store-Era of all answers, unless it is 0.
	era uint64
	// restored is closed and replaced at each restore.
	restored chan struct{}
}

// topic is a log with an index of the newest record of each key.
type topic struct {
	firstOffset uint64
	records     [][]byte
	newestByKey map[string]keyedRecord
	appended    chan struct{} // closed and replaced at each append
}

type keyedRecord struct {
	value  []byte
	offset uint64
}

// consumerGroup assigns the partitions of a topic to its live members.
type consumerGroup struct {
	generation int64
	members    []string
	renewedAt  map[string]time.Time     // by member
	ttl        map[string]time.Duration // by member
}

// NewStore starts a store; Close stops it.
func NewStore() *Store {
	s := &Store{topics: map[string]*topic{}, readsLeft: map[string]int{}, groups: map[string]*consumerGroup{}, restored: make(chan struct{}), journal: journal{engines: map[string]*Engine{}}}
	mux := http.NewServeMux()
	mux.HandleFunc("/log-read", s.handleRead)
	mux.HandleFunc("/log-newest", s.handleNewest)
	mux.HandleFunc("/log-append", s.handleAppend)
	mux.HandleFunc("/log-join", s.handleJoin)
	mux.HandleFunc("/log-leave", s.handleLeave)
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.rejectCall(w) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	return s
}

// Close stops the store.
func (s *Store) Close() { s.server.Close() }

// Addr returns the store's host:port.
func (s *Store) Addr() string { return strings.TrimPrefix(s.server.URL, "http://") }

// SetDown makes the store refuse all calls with status 503, or serve them again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// RefuseReadsAfter makes the store refuse reads by offset of a topic, with status 503, after
// the next n.
func (s *Store) RefuseReadsAfter(topic string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readsLeft[topic] = n
}

// mayRead counts a read by offset and reports whether it is served.
func (s *Store) mayRead(topic string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left, limited := s.readsLeft[topic]
	if limited && left > 0 {
		s.readsLeft[topic]--
	}
	return !limited || left > 0
}

// DropAppendResponses makes the next n appends take effect without a response.
func (s *Store) DropAppendResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendResponsesToDrop = n
}

// CallCount returns the number of calls so far, including refused ones.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

// rejectCall counts a call and reports whether it must be refused.
func (s *Store) rejectCall(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stampEra(w)
	s.callCount++
	return s.down
}

// topic returns the topic of the given name and creates it if needed. s.mu must be
// held.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newestByKey: map[string]keyedRecord{}, appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// Put appends a record to a keyed topic, as operators and engines do; a nil value
// removes the key. It works also while the store refuses calls.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.topic(name).appendRecord(append(record, value...))
}

// appendRecord appends a record: the length of its key in one byte, the key, and
// the value. An empty value removes the key. The store's lock must be held.
func (t *topic) appendRecord(record []byte) {
	offset := t.firstOffset + uint64(len(t.records))
	t.records = append(t.records, record)
	if len(record) > 0 && len(record) >= 1+int(record[0]) {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if len(value) == 0 {
			delete(t.newestByKey, key)
		} else {
			t.newestByKey[key] = keyedRecord{value, offset}
		}
	}
	close(t.appended)
	t.appended = make(chan struct{})
}

// Keys returns the keys of a topic that have a value.
func (s *Store) Keys(name string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.topic(name).newestByKey))
}

// Truncate deletes the log of a topic. The newest record of each key remains
// readable.
func (s *Store) Truncate(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.firstOffset += uint64(len(t.records))
	t.records = nil
}

// TruncateAll truncates all topics.
func (s *Store) TruncateAll() {
	s.mu.Lock()
	names := slices.Collect(maps.Keys(s.topics))
	s.mu.Unlock()
	for _, name := range names {
		s.Truncate(name)
	}
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, errFrom := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("wait_ms"))
	maxKB, errMax := defaultReadKB, error(nil)
	if text := q.Get("max_kb"); text != "" {
		maxKB, errMax = strconv.Atoi(text)
	}
	if errFrom != nil || errWait != nil || errMax != nil || maxKB <= 0 || wait < 0 || wait > maxWaitMS {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.mayRead(q.Get("topic")) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		body, missing, appended, restored := s.readFrom(w, q.Get("topic"), from, maxKB<<10)
		if missing {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(body) > readHeaderBytes {
			writeBody(w, body)
			return
		}
		select {
		case <-appended:
		case <-restored:
		case <-timer.C:
			writeBody(w, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// readFrom returns the response body with the records from an offset on, at least one if
// there are any and no more than fit in limit bytes: the end of the log and its first
// offset, then each record after its length. missing is set
// if the log does not have the offset. appended is closed at the next append, restored
// at the next restore.
func (s *Store) readFrom(w http.ResponseWriter, name string, from uint64, limit int) (body []byte, missing bool, appended, restored <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stampEra(w)
	t := s.topic(name)
	end := t.firstOffset + uint64(len(t.records))
	if from < t.firstOffset || from > end {
		return nil, true, nil, nil
	}
	body = binary.BigEndian.AppendUint64(nil, end)
	body = binary.BigEndian.AppendUint64(body, t.firstOffset)
	for offset := from; offset < end; offset++ {
		record := t.records[offset-t.firstOffset]
		if offset > from && len(body)-readHeaderBytes+4+len(record) > limit {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	return body, false, t.appended, s.restored
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset uint64 `json:"offset"`
	}
	s.mu.Lock()
	s.stampEra(w)
	t := s.topic(r.URL.Query().Get("topic"))
	items, size, more := []item{}, 0, false
	for _, key := range slices.Sorted(maps.Keys(t.newestByKey)) {
		n := t.newestByKey[key]
		switch {
		case key <= r.URL.Query().Get("after") && r.URL.Query().Has("after"):
		case len(items) == pageItems || len(items) > 0 && size+len(n.value) > pageBytes:
			more = true
		case !more:
			items = append(items, item{key, base64.StdEncoding.EncodeToString(n.value), n.offset})
			size += len(n.value)
		}
	}
	end := t.firstOffset + uint64(len(t.records))
	s.mu.Unlock()
	writeJSON(w, map[string]any{"items": items, "more": more, "end": end})
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 4 || int(binary.BigEndian.Uint32(body)) != len(body)-4 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(body)-4 > maxRecordBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	s.stampEra(w)
	t := s.topic(name)
	t.appendRecord(body[4:])
	end := t.firstOffset + uint64(len(t.records))
	dropResponse := s.appendResponsesToDrop > 0
	s.appendResponsesToDrop = max(0, s.appendResponsesToDrop-1)
	s.mu.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]uint64{"offset": end - 1, "end": end})
}

func (s *Store) handleJoin(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Group, Member string
		Topics        []string
		TTLMS         int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || len(request.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.stampEra(w)
	g := s.groups[request.Group]
	if g == nil {
		g = &consumerGroup{renewedAt: map[string]time.Time{}, ttl: map[string]time.Duration{}}
		s.groups[request.Group] = g
	}
	g.renew(request.Member, time.Duration(request.TTLMS)*time.Millisecond)
	rows := [][]any{}
	for p := range partitions {
		if g.members[p%len(g.members)] == request.Member {
			rows = append(rows, []any{request.Topics[0], p, 0})
		}
	}
	generation := g.generation
	s.mu.Unlock()
	writeJSON(w, map[string]any{"generation": generation, "parts": rows})
}

// renew extends the membership of member, which is added if it isn't in the group,
// and removes the other members that have expired. A change of membership starts a
// new generation.
func (g *consumerGroup) renew(member string, ttl time.Duration) {
	now := time.Now()
	var live []string
	for _, m := range g.members {
		if m == member || now.Sub(g.renewedAt[m]) < g.ttl[m] {
			live = append(live, m)
		}
	}
	if !slices.Contains(live, member) {
		live = append(live, member)
	}
	if !slices.Equal(live, g.members) {
		g.generation++
	}
	g.members = live
	g.renewedAt[member], g.ttl[member] = now, ttl
}

func (s *Store) handleLeave(w http.ResponseWriter, r *http.Request) {
	var request struct{ Group, Member string }
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stampEra(w)
	if g := s.groups[request.Group]; g != nil {
		delete(g.renewedAt, request.Member)
		var remaining []string
		for _, m := range g.members {
			if m != request.Member {
				remaining = append(remaining, m)
			}
		}
		g.members = remaining
		g.generation++
	}
	writeJSON(w, struct{}{})
}

func writeBody(w http.ResponseWriter, body []byte) {
	// A write fails only if the caller has closed the connection.
	_, _ = w.Write(body)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}
