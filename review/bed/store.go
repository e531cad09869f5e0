package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// readHead is the size of the two offsets before the records of a read.
	readHead = 16
	// pageItems and pageBytes bound a page of the newest records of each key.
	pageItems = 500
	pageBytes = 1 << 20
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
)

// store is a stand-in of the platform's metadata store: topics with one partition each,
// and a group of planners with one holder. A read returns at most max_kb of records.
type store struct {
	server *http.Server
	addr   string

	mu         sync.Mutex
	topics     map[string]*topic
	generation int64
	members    []string
	renewed    map[string]time.Time
	ttl        map[string]time.Duration
}

// topic is a log and the newest record of each key.
type topic struct {
	first    uint64
	records  [][]byte
	newest   map[string]item
	appended chan struct{}
}

// item is one record of a page.
type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset uint64 `json:"offset"`
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), topics: map[string]*topic{}, renewed: map[string]time.Time{}, ttl: map[string]time.Duration{}}
	mux := http.NewServeMux()
	mux.HandleFunc(wireName("read"), s.read)
	mux.HandleFunc(wireName("newest"), s.newestOfEach)
	mux.HandleFunc(wireName("append"), s.append)
	mux.HandleFunc(wireName("join"), s.join)
	mux.HandleFunc(wireName("leave"), s.leave)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// pauseBeforeAnswer waits as long as an answer takes.
func (*store) pauseBeforeAnswer(ctx context.Context) {
	select {
	case <-time.After(answerTime):
	case <-ctx.Done():
	}
}

// topic returns a topic. The caller holds the lock.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]item{}, appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends a record, as the operator and the engines do, and returns when the store
// has acknowledged it. An empty value deletes the key.
func (s *store) put(topicName, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.topic(topicName).add(append(record, value...))
	return time.Now()
}

// add appends a record. The caller holds the store's lock.
func (t *topic) add(record []byte) {
	offset := t.first + uint64(len(t.records))
	t.records = append(t.records, record)
	if n := 1 + int(record[0]); len(record) >= n {
		key := string(record[1:n])
		if len(record) == n {
			delete(t.newest, key)
		} else {
			t.newest[key] = item{key, base64.StdEncoding.EncodeToString(record[n:]), offset}
		}
	}
	close(t.appended)
	t.appended = make(chan struct{})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil || maxKB <= 0 {
		maxKB = 1024
	}
	timer := time.After(time.Duration(wait) * time.Millisecond)
	for {
		body, gone, appended := s.recordsFrom(q.Get("topic"), from, maxKB<<10)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(body) > readHead {
			s.pauseBeforeAnswer(r.Context())
			_, _ = w.Write(body)
			return
		}
		select {
		case <-appended:
		case <-timer:
			s.pauseBeforeAnswer(r.Context())
			_, _ = w.Write(body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// recordsFrom returns the end and the first offset of a topic, and the records from an
// offset on, as many as fit in limit bytes but at least one.
func (s *store) recordsFrom(name string, from uint64, limit int) (body []byte, gone bool, appended <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	end := t.first + uint64(len(t.records))
	if from < t.first || from > end {
		return nil, true, nil
	}
	body = binary.BigEndian.AppendUint64(nil, end)
	body = binary.BigEndian.AppendUint64(body, t.first)
	for offset := from; offset < end; offset++ {
		record := t.records[offset-t.first]
		if len(body) > readHead && len(body)+4+len(record) > readHead+limit {
			break
		}
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	return body, false, t.appended
}

func (s *store) newestOfEach(w http.ResponseWriter, r *http.Request) {
	s.pauseBeforeAnswer(r.Context())
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for k := range t.newest {
		if k > r.URL.Query().Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	page, bytes, more := []item{}, 0, false
	for _, k := range keys {
		if len(page) >= pageItems || len(page) > 0 && bytes+len(t.newest[k].Value) > pageBytes {
			more = true
			break
		}
		page = append(page, t.newest[k])
		bytes += len(t.newest[k].Value)
	}
	end := t.first + uint64(len(t.records))
	s.mu.Unlock()
	writeJSON(w, map[string]any{"items": page, "more": more, "end": end})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 || int(binary.BigEndian.Uint32(body)) != len(body)-4 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.pauseBeforeAnswer(r.Context())
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	t.add(body[4:])
	end := t.first + uint64(len(t.records))
	s.mu.Unlock()
	writeJSON(w, map[string]uint64{"offset": end - 1, "end": end})
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTLMS  int64    `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.pauseBeforeAnswer(r.Context())
	s.mu.Lock()
	live := slices.DeleteFunc(slices.Clone(s.members), func(m string) bool {
		return m != in.Member && time.Since(s.renewed[m]) >= s.ttl[m]
	})
	if !slices.Contains(live, in.Member) {
		live = append(live, in.Member)
	}
	if !slices.Equal(live, s.members) {
		s.generation++
	}
	s.members, s.renewed[in.Member], s.ttl[in.Member] = live, time.Now(), time.Duration(in.TTLMS)*time.Millisecond
	rows := [][]any{}
	if live[0] == in.Member {
		rows = append(rows, []any{in.Topics[0], 0, 0})
	}
	generation := s.generation
	s.mu.Unlock()
	writeJSON(w, map[string]any{"generation": generation, "parts": rows})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Member string `json:"member"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	s.members = slices.DeleteFunc(s.members, func(m string) bool { return m == in.Member })
	s.generation++
	s.mu.Unlock()
	writeJSON(w, struct{}{})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
