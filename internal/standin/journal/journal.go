// Package journal records what stand-in targets really did, for the checks of
// tests and experiments. Entries carry one sequence over all VMs of a process.
package journal

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// Event says what happened.
type Event string

// The events of a journal.
const (
	// RequestStarted is a request that began to run.
	RequestStarted Event = "start"
	// RequestCompleted is a request whose whole answer was written.
	RequestCompleted Event = "end"
	// RequestCanceled is a running request whose caller went away.
	RequestCanceled Event = "cancel"
	// RequestAborted is a running request that the target broke off.
	RequestAborted Event = "cut"
	// RequestRefused is a request that did not run.
	RequestRefused Event = "refused"
	// OrderExecuted is an order that was carried out, OrderRefused one that was not.
	OrderExecuted Event = "order"
	OrderRefused  Event = "order_refused"
	// VMReady is a VM that became ready for its group.
	VMReady Event = "ready"
	// VMCrashed is a VM that broke under load or under a request.
	VMCrashed Event = "fell_over"
	// VMKilled is a VM that lost its power, Boot one that started anew.
	VMKilled Event = "killed"
	VMBooted Event = "boot"
	// VMTurnedCold is a VM that became cold without a boot.
	VMTurnedCold Event = "turned_cold"
	// MemberMissing is a leader that lost a member of its group; MemberBack
	// ends that.
	MemberMissing  Event = "member_missing"
	MemberRestored Event = "member_back"
)

// Entry is one event.
type Entry struct {
	Seq    uint64 `json:"seq"`
	UnixMS int64  `json:"at_ms"`
	Event  Event  `json:"event"`
	VM     string `json:"vm"`
	// BootID is the incarnation of the VM.
	BootID string `json:"boot_id"`
	// FencingToken is the fencing number that the VM served under.
	FencingToken   uint64 `json:"group,omitempty"`
	RequestID      string `json:"request_id,omitempty"`
	AttemptID      string `json:"attempt_id,omitempty"`
	IdempotencyKey string `json:"key,omitempty"`
	Workspace      string `json:"workspace,omitempty"`
	Path           string `json:"path,omitempty"`
	Priority       string `json:"priority,omitempty"`
	// Inflight counts the running requests with this one; Limit is what the VM
	// could bear at that time.
	Inflight int  `json:"inflight"`
	Limit    int  `json:"limit"`
	Cold     bool `json:"cold,omitempty"`
	// ResponseComplete says that the whole answer was written.
	ResponseComplete bool `json:"complete,omitempty"`
	// GroupIncomplete says that a member of the group was missing at that time.
	GroupIncomplete bool `json:"incomplete,omitempty"`
	// Draining says that the VM asked for no new work at that time.
	Draining bool `json:"draining,omitempty"`
	// PrefixHit says that the prompt's prefix was cached.
	PrefixHit bool   `json:"prefix_hit,omitempty"`
	Tokens    int    `json:"tokens,omitempty"`
	Reason    string `json:"reason,omitempty"`
}

// Journal holds the entries of all VMs of a process, in shards by VM.
type Journal struct {
	seq     atomic.Uint64
	entries *shard.Map[[]Entry]
}

// New returns an empty journal.
func New() *Journal { return &Journal{entries: shard.NewMap[[]Entry]()} }

// Add appends e under the next sequence number and the present time.
func (j *Journal) Add(e Entry) {
	j.entries.Update(e.VM, func(v []Entry, _ bool) ([]Entry, bool) {
		e.Seq = j.seq.Add(1)
		e.UnixMS = time.Now().UnixMilli()
		return append(v, e), true
	})
}

// Since returns the entries above seq, in order. The entries of one VM are
// never missing between two that are returned.
func (j *Journal) Since(seq uint64) []Entry {
	out := []Entry{}
	j.entries.Range(func(_ string, v []Entry) bool {
		i, _ := slices.BinarySearchFunc(v, seq+1, func(e Entry, s uint64) int { return cmp.Compare(e.Seq, s) })
		out = append(out, v[i:]...)
		return true
	})
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	return out
}

// Count returns the number of entries with the given event.
func (j *Journal) Count(ev Event) int {
	n := 0
	j.entries.Range(func(_ string, v []Entry) bool {
		for _, e := range v {
			if e.Event == ev {
				n++
			}
		}
		return true
	})
	return n
}
