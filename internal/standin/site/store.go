// Package site is a test double of the users' platform: its metadata store and
// its engines, over sockets. It keeps the rules that the system's safety rests
// on: offsets, the newest record of each key, one holder of a partition, fences
// of orders and the states of groups.
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

// partitions is the number of partitions of a topic.
const partitions = 12

// Store is the metadata store. Its zero value is not usable; call NewStore.
type Store struct {
	server *httptest.Server

	mu     sync.Mutex
	topics map[string]*topic
	groups map[string]*joined
	down   bool
	// refused are the callers' addresses that are turned away.
	calls   int
	lose    int
	journal journal
}

type topic struct {
	first   uint64
	records [][]byte
	newest  map[string]newest
	grown   chan struct{}
}

type newest struct {
	value  []byte
	offset uint64
}

type joined struct {
	generation int64
	members    []string
	seen       map[string]time.Time
	ttl        map[string]time.Duration
}

// NewStore starts a store; Close ends it.
func NewStore() *Store {
	s := &Store{topics: map[string]*topic{}, groups: map[string]*joined{}, journal: journal{engines: map[string]*Engine{}}}
	mux := http.NewServeMux()
	mux.HandleFunc("/log-read", s.read)
	mux.HandleFunc("/log-newest", s.newestPage)
	mux.HandleFunc("/log-append", s.append)
	mux.HandleFunc("/log-join", s.join)
	mux.HandleFunc("/log-leave", s.leave)
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.refuses() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	return s
}

// Close ends the store.
func (s *Store) Close() { s.server.Close() }

// Addr returns the store's address.
func (s *Store) Addr() string { return strings.TrimPrefix(s.server.URL, "http://") }

// SetDown makes the store refuse all calls, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// DropAppendResponses carries the next n appends out without an answer.
func (s *Store) DropAppendResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// CallCount returns the number of calls so far, refused ones included.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) refuses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.down
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]newest{}, grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// Put writes a record of a keyed topic, as operators and engines do; a nil
// value drops the key. It works while the store is down to its callers.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.topic(name).add(append(raw, value...))
}

func (t *topic) add(raw []byte) {
	offset := t.first + uint64(len(t.records))
	t.records = append(t.records, raw)
	if len(raw) > 0 && len(raw) >= 1+int(raw[0]) {
		key, value := string(raw[1:1+raw[0]]), raw[1+raw[0]:]
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = newest{value, offset}
		}
	}
	close(t.grown)
	t.grown = make(chan struct{})
}

// Truncate deletes all records of a topic but keeps the newest of each key.
func (s *Store) Truncate(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += uint64(len(t.records))
	t.records = nil
}

// TruncateAll drops the history of all topics; the newest records stay.
func (s *Store) TruncateAll() {
	s.mu.Lock()
	names := slices.Collect(maps.Keys(s.topics))
	s.mu.Unlock()
	for _, name := range names {
		s.Truncate(name)
	}
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, errFrom := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("wait_ms"))
	if errFrom != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		body, gone, grown := s.readFrom(q.Get("topic"), from)
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(body) > 16 {
			reply(w, body)
			return
		}
		select {
		case <-grown:
		case <-timer.C:
			reply(w, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) readFrom(name string, from uint64) (body []byte, gone bool, grown <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if from < t.first {
		return nil, true, nil
	}
	end := t.first + uint64(len(t.records))
	body = binary.BigEndian.AppendUint64(nil, end)
	body = binary.BigEndian.AppendUint64(body, t.first)
	for at := from; at < end; at++ {
		raw := t.records[at-t.first]
		body = binary.BigEndian.AppendUint32(body, uint32(len(raw)))
		body = append(body, raw...)
	}
	return body, false, t.grown
}

func (s *Store) newestPage(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset uint64 `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []item{}
	for key, n := range t.newest {
		items = append(items, item{key, base64.StdEncoding.EncodeToString(n.value), n.offset})
	}
	end := t.first + uint64(len(t.records))
	s.mu.Unlock()
	replyJSON(w, map[string]any{"items": items, "more": false, "end": end})
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 4 || int(binary.BigEndian.Uint32(body)) != len(body)-4 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	t := s.topic(name)
	t.add(body[4:])
	end := t.first + uint64(len(t.records))
	lost := s.lose > 0
	s.lose = max(0, s.lose-1)
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	replyJSON(w, map[string]uint64{"offset": end - 1, "end": end})
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Group, Member string
		Topics        []string
		TTLMS         int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || len(call.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	g := s.groups[call.Group]
	if g == nil {
		g = &joined{seen: map[string]time.Time{}, ttl: map[string]time.Duration{}}
		s.groups[call.Group] = g
	}
	g.renew(call.Member, time.Duration(call.TTLMS)*time.Millisecond)
	rows := [][]any{}
	for p := range partitions {
		if g.members[p%len(g.members)] == call.Member {
			rows = append(rows, []any{call.Topics[0], p, 0})
		}
	}
	generation := g.generation
	s.mu.Unlock()
	replyJSON(w, map[string]any{"generation": generation, "parts": rows})
}

func (g *joined) renew(member string, ttl time.Duration) {
	now := time.Now()
	var live []string
	for _, m := range g.members {
		if m == member || now.Sub(g.seen[m]) < g.ttl[m] {
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
	g.seen[member], g.ttl[member] = now, ttl
}

func (s *Store) leave(w http.ResponseWriter, r *http.Request) {
	var call struct{ Group, Member string }
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[call.Group]; g != nil {
		delete(g.seen, call.Member)
		var rest []string
		for _, m := range g.members {
			if m != call.Member {
				rest = append(rest, m)
			}
		}
		g.members = rest
		g.generation++
	}
	replyJSON(w, struct{}{})
}

func reply(w http.ResponseWriter, body []byte) {
	// The caller may have left; nobody is to be told then.
	_, _ = w.Write(body)
}

func replyJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller may have left; nobody is to be told then.
	_ = json.NewEncoder(w).Encode(v)
}
