// Package platform holds the clients of the platform's services: the
// append-only log, the VM list and the weight store. It speaks their published
// HTTP protocol and takes no decisions; a lost answer comes back as an error
// with outcome Unknown, and the caller reads the log to learn what happened.
package platform

import (
	"context"
	"time"
)

// The log service's HTTP protocol. Offsets of a stream start at 0 and grow by
// one per record. The epoch grows when the service was set up anew.
//
//	POST /v1/streams/{stream}/records            AppendRequest -> AppendAnswer
//	GET  /v1/streams/{stream}/records?from=&max= ReadAnswer; 410 with TrimmedAnswer
//	                                             if from is below the oldest record
type (
	// AppendRequest appends records in one step: all or none. At most MaxBatch.
	AppendRequest struct {
		Records [][]byte `json:"records"`
	}
	// AppendResponse gives the offset of the first appended record.
	AppendResponse struct {
		Epoch uint32 `json:"epoch"`
		First uint64 `json:"first"`
	}
	// ReadResponse gives records from the asked offset on. Next is the offset
	// that the next append will get; Oldest is the first one still kept.
	ReadResponse struct {
		Epoch   uint32   `json:"epoch"`
		Oldest  uint64   `json:"oldest"`
		Next    uint64   `json:"next"`
		Records []Record `json:"records"`
	}
	// Record is one stored record.
	Record struct {
		Offset uint64 `json:"offset"`
		// AppendUnixMS is the service's clock at the append, in Unix milliseconds.
		AppendUnixMS int64  `json:"at_ms"`
		Data         []byte `json:"data"`
	}
	// TrimmedResponse says which offsets are still kept.
	TrimmedResponse struct {
		Epoch  uint32 `json:"epoch"`
		Oldest uint64 `json:"oldest"`
		Next   uint64 `json:"next"`
	}
)

// MaxBatchRecords bounds the records of one append or read.
const MaxBatchRecords = 512

// Streams of the log that the system uses.
const (
	// StreamControl carries operators' edits, groups and daemons.
	StreamControl = "control"
	// StreamSnapshots carries snapshots of the folded control stream.
	StreamSnapshots = "control-snapshots"
	// StreamOncePrefix starts the names of the at-most-once streams; a shard
	// number follows.
	StreamOncePrefix = "once-"
)

// VMState says whether the platform is about to take a VM away.
type VMState string

// The states of a listed VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// The VM list's HTTP protocol:
//
//	GET /v1/vms -> VMListAnswer
type (
	// VMListResponse is the list as the platform knows it; it lags.
	VMListResponse struct {
		VMs []VM `json:"vms"`
	}
	// VM is one machine of the platform.
	VM struct {
		ID            string  `json:"id"`
		Addr          string  `json:"addr"` // host:port of the target's HTTP server
		FailureDomain string  `json:"failure_domain"`
		FabricDomain  string  `json:"fabric_domain"`
		State         VMState `json:"state"`
	}
)

// LoadsResponse is the weight store's view of its load. Its HTTP protocol, as far as the system needs it (engines
// fetch weights from it by themselves):
//
//	GET /v1/loads -> LoadsResponse
type LoadsResponse struct {
	// Concurrent is the number of VMs that may fetch at once.
	Concurrent int `json:"concurrent"`
	Active     int `json:"active"`
	Queued     int `json:"queued"`
}

// Log is the platform's log as the rest of the system sees it.
type Log interface {
	// Append appends records to the stream in one step. An error with outcome
	// NotRun means that nothing was appended; Unknown means that it may have been.
	Append(ctx context.Context, stream string, records [][]byte) (AppendResponse, error)
	// Read returns up to limit records from offset from. If from was trimmed
	// the error is a *Trimmed.
	Read(ctx context.Context, stream string, from uint64, limit int) (ReadResponse, error)
}

// VMLister is the platform's VM list.
type VMLister interface {
	List(ctx context.Context) ([]VM, error)
}

// WeightStore is the platform's weight store.
type WeightStore interface {
	Loads(ctx context.Context) (LoadsResponse, error)
}

// DefaultTimeout bounds one call to a platform service.
const DefaultTimeout = 2 * time.Second
