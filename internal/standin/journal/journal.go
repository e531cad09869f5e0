// Package journal records what stand-in targets did, so that tests and
// experiments can check the system under test against it. Sequence numbers are
// shared by all VMs of a process.
package journal

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// Event is the kind of a journal entry.
type Event string

// Events of requests, orders and VMs.
const (
	// RequestStarted is the start of a request's execution.
	RequestStarted Event = "start"
	// RequestCompleted is a request that was executed to its end. An engine records
	// it after the response, a plain service before it: a fault may still drop the
	// service's response.
	RequestCompleted Event = "end"
	// RequestCanceled is a running request whose caller closed the connection.
	RequestCanceled Event = "cancel"
	// RequestAborted is a running request that the target aborted.
	RequestAborted Event = "cut"
	// RequestRefused is a request that was refused without being executed.
	RequestRefused Event = "refused"
	// OrderExecuted is an order that took effect, OrderRefused one that was
	// rejected for its fencing token.
	OrderExecuted Event = "order"
	OrderRefused  Event = "order_refused"
	// VMReady is a VM that finished loading and is ready in its group.
	VMReady Event = "ready"
	// VMCrashed is a VM that crashed by overload or by a poison request.
	VMCrashed Event = "fell_over"
	// VMKilled is a VM that was powered off, VMBooted one that booted.
	VMKilled Event = "killed"
	VMBooted Event = "boot"
	// VMTurnedCold is a VM that became cold without a reboot.
	VMTurnedCold Event = "turned_cold"
	// MemberMissing is a leader whose group has a member that doesn't serve, with
	// the member's address as the reason. MemberRestored follows once all members
	// serve again.
	MemberMissing  Event = "member_missing"
	MemberRestored Event = "member_back"
)

// Entry is one journal entry, encoded as JSON by the control server.
type Entry struct {
	Seq    uint64 `json:"seq"`
	UnixMS int64  `json:"at_ms"`
	Event  Event  `json:"event"`
	VM     string `json:"vm"`
	// BootID identifies the VM's incarnation between two boots.
	BootID string `json:"boot_id"`
	// FencingToken is that of the order under which the VM served its group.
	FencingToken   uint64 `json:"group,omitempty"`
	RequestID      string `json:"request_id,omitempty"`
	AttemptID      string `json:"attempt_id,omitempty"`
	IdempotencyKey string `json:"key,omitempty"`
	Workspace      string `json:"workspace,omitempty"`
	Path           string `json:"path,omitempty"`
	Priority       string `json:"priority,omitempty"`
	// Inflight is the number of running requests, this one included. Limit is
	// the VM's concurrency limit at that time.
	Inflight int  `json:"inflight"`
	Limit    int  `json:"limit"`
	Cold     bool `json:"cold,omitempty"`
	// ResponseComplete is set for RequestCompleted.
	ResponseComplete bool `json:"complete,omitempty"`
	// GroupIncomplete is set if a member of the group was missing at that time.
	GroupIncomplete bool `json:"incomplete,omitempty"`
	// Draining is set if the VM reported that it drains at that time.
	Draining bool `json:"draining,omitempty"`
	// PrefixHit is set if the prompt's prefix was in the prefix cache.
	PrefixHit bool `json:"prefix_hit,omitempty"`
	Tokens    int  `json:"tokens,omitempty"`
	// Reason is a text for people; tests match some of them.
	Reason string `json:"reason,omitempty"`
}

// Journal holds the entries of all VMs of a process, sharded by VM id.
type Journal struct {
	seq         atomic.Uint64
	entriesByVM *shard.Map[[]Entry]
}

// New returns an empty journal.
func New() *Journal { return &Journal{entriesByVM: shard.NewMap[[]Entry]()} }

// Add sets the sequence number and time of e and appends it.
func (j *Journal) Add(e Entry) {
	j.entriesByVM.Update(e.VM, func(entries []Entry, _ bool) ([]Entry, bool) {
		e.Seq = j.seq.Add(1)
		e.UnixMS = time.Now().UnixMilli()
		return append(entries, e), true
	})
}

// Since returns the entries with a sequence number above seq, in order. For
// each VM the returned entries are contiguous. Concurrent calls of Add may hide
// an entry of one VM while a later one of another VM is returned.
func (j *Journal) Since(seq uint64) []Entry {
	entriesAfter := []Entry{}
	j.entriesByVM.Range(func(_ string, entries []Entry) bool {
		i, _ := slices.BinarySearchFunc(entries, seq+1, func(e Entry, s uint64) int { return cmp.Compare(e.Seq, s) })
		entriesAfter = append(entriesAfter, entries[i:]...)
		return true
	})
	slices.SortFunc(entriesAfter, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	return entriesAfter
}

// Count returns the number of entries of the given event.
func (j *Journal) Count(event Event) int {
	count := 0
	j.entriesByVM.Range(func(_ string, entries []Entry) bool {
		for _, e := range entries {
			if e.Event == event {
				count++
			}
		}
		return true
	})
	return count
}
