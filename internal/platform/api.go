// Package platform provides clients of the platform's HTTP services: the
// append-only log, the VM list and the weight store. The clients never retry. If
// the response to an append is lost, the error has outcome Unknown, and the
// caller has to read the log to learn whether the records were appended.
package platform

import (
	"context"
	"time"
)

// Messages of the log service's HTTP protocol. Offsets of a stream start at 0
// and increase by one per record. The epoch increases when the service is set up
// anew and has lost its records.
//
//	POST /v1/streams/{stream}/records            AppendRequest -> AppendResponse
//	GET  /v1/streams/{stream}/records?from=&max= ReadResponse; 410 with TrimmedResponse
//	                                             if from is below the oldest record
type (
	// AppendRequest appends up to MaxBatchRecords records atomically.
	AppendRequest struct {
		Records [][]byte `json:"records"`
	}
	// AppendResponse contains the offset of the first appended record.
	AppendResponse struct {
		Epoch uint32 `json:"epoch"`
		First uint64 `json:"first"`
	}
	// ReadResponse contains the records from the requested offset on. Oldest is
	// the offset of the first retained record, Next that of the next append.
	ReadResponse struct {
		Epoch   uint32   `json:"epoch"`
		Oldest  uint64   `json:"oldest"`
		Next    uint64   `json:"next"`
		Records []Record `json:"records"`
	}
	// Record is a record of a stream.
	Record struct {
		Offset uint64 `json:"offset"`
		// AppendUnixMS is the time of the append by the service's clock, in Unix
		// milliseconds.
		AppendUnixMS int64  `json:"at_ms"`
		Data         []byte `json:"data"`
	}
	// TrimmedResponse contains the range of retained offsets: Oldest up to, but
	// not including, Next.
	TrimmedResponse struct {
		Epoch  uint32 `json:"epoch"`
		Oldest uint64 `json:"oldest"`
		Next   uint64 `json:"next"`
	}
)

// MaxBatchRecords limits the records of one append or read.
const MaxBatchRecords = 512

// Streams of the log that the daemons use.
const (
	// StreamControl contains operators' edits and the records of groups and
	// daemons.
	StreamControl = "control"
	// StreamSnapshots contains snapshots of the state that results from
	// StreamControl.
	StreamSnapshots = "control-snapshots"
	// StreamOncePrefix is the prefix of the names of the at-most-once streams;
	// the shard number is the suffix.
	StreamOncePrefix = "once-"
)

// VMState tells whether the platform is about to remove a VM.
type VMState string

// The states of a listed VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// Messages of the VM list's HTTP protocol:
//
//	GET /v1/vms -> VMListResponse
type (
	// VMListResponse contains the VMs of the platform. It lags behind changes.
	VMListResponse struct {
		VMs []VM `json:"vms"`
	}
	// VM is a virtual machine of the platform.
	VM struct {
		ID            string  `json:"id"`
		Addr          string  `json:"addr"` // host:port of the target's HTTP server
		FailureDomain string  `json:"failure_domain"`
		FabricDomain  string  `json:"fabric_domain"`
		State         VMState `json:"state"`
	}
)

// LoadsResponse contains the weight store's current load. Engines fetch weights
// from the store directly; the daemons use only this part of its HTTP protocol:
//
//	GET /v1/loads -> LoadsResponse
type LoadsResponse struct {
	// Concurrent is the maximum number of VMs that may fetch at the same time;
	// Active is the number that do, Queued the number that wait.
	Concurrent int `json:"concurrent"`
	Active     int `json:"active"`
	Queued     int `json:"queued"`
}

// Log is a client of the platform's log.
type Log interface {
	// Append appends records to the stream atomically. If the error has outcome
	// NotRun, nothing was appended; with Unknown the records may have been
	// appended.
	Append(ctx context.Context, stream string, records [][]byte) (AppendResponse, error)
	// Read returns up to limit records, starting at offset from. If the record
	// at from was trimmed, the error is a *TrimmedError.
	Read(ctx context.Context, stream string, from uint64, limit int) (ReadResponse, error)
}

// VMLister is a client of the platform's VM list.
type VMLister interface {
	List(ctx context.Context) ([]VM, error)
}

// WeightStore is a client of the platform's weight store.
type WeightStore interface {
	Loads(ctx context.Context) (LoadsResponse, error)
}

// DefaultTimeout limits a call to a platform service if Options sets no timeout.
const DefaultTimeout = 2 * time.Second
