// Package config reads and validates the settings of a daemon. It opens no
// connections and reads no secrets: the settings only name the files that hold
// them.
package config

import (
	"errors"
	"os"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

// Settings are the settings of one daemon.
type Settings struct {
	Daemon   Daemon   `toml:"daemon"`
	Listen   Listen   `toml:"listen"`
	Secrets  Secrets  `toml:"secrets"`
	Platform Platform `toml:"platform"`
	Members  Members  `toml:"members"`
	Targets  Targets  `toml:"targets"`
	Groups   Groups   `toml:"groups"`
	Once     Once     `toml:"once"`
	Limits   Limits   `toml:"limits"`
	Shutdown Shutdown `toml:"shutdown"`
	Log      Log      `toml:"log"`
}

// Daemon identifies the daemon.
type Daemon struct {
	ID            string `toml:"id"`
	FailureDomain string `toml:"failure_domain"`
}

// Listen holds the addresses of the daemon's servers, each as IP:PORT.
type Listen struct {
	// Callers is the address of the server for clients' requests.
	Callers string `toml:"callers"`
	// Operators is the address of the server for table edits, status, audit and
	// metrics.
	Operators string `toml:"operators"`
	// Peers is the address, for TCP and UDP, at which other daemons reach this one.
	Peers string `toml:"peers"`
	// AdvertisePeers is the address that other daemons use instead of Peers if
	// the network between them translates addresses; empty means Peers.
	AdvertisePeers string `toml:"advertise_peers"`
}

// Secrets names the files that hold tokens and keys.
type Secrets struct {
	// ClusterKeyFile holds the key that all daemons share; during a rotation, a
	// second line holds the previous key.
	ClusterKeyFile string `toml:"cluster_key_file"`
	// TokensFile holds the bearer tokens of callers and operators.
	TokensFile string `toml:"tokens_file"`
}

// Platform configures the access to the platform's services: the append-only
// log, the VM list and the weight store.
type Platform struct {
	LogURL     string            `toml:"log"`
	VMListURL  string            `toml:"vms"`
	WeightsURL string            `toml:"weights"`
	Timeout    tomlfile.Duration `toml:"timeout"`
	// LogRetention is how long the log keeps records.
	LogRetention tomlfile.Duration `toml:"log_retention"`
	// SnapshotRecords is the number of log records after which the daemon takes a
	// new snapshot.
	SnapshotRecords int `toml:"snapshot_records"`
}

// Members configures cluster membership and failure detection.
type Members struct {
	// Seeds are the peer addresses that a starting daemon contacts first.
	Seeds         []string          `toml:"seeds"`
	ProbeInterval tomlfile.Duration `toml:"probe_interval"`
	// LeaveAfter is how long a dead daemon still counts towards the majority.
	LeaveAfter tomlfile.Duration `toml:"leave_after"`
	// IsolatedAfter is how long a daemon goes on serving while it cannot confirm
	// that its view is current.
	IsolatedAfter tomlfile.Duration `toml:"isolated_after"`
}

// Targets configures requests to targets.
type Targets struct {
	DialTimeout tomlfile.Duration `toml:"dial_timeout"`
	// FirstByteTimeout is how long an idempotent request waits for the first byte
	// of a response before the connection is suspected to be broken.
	FirstByteTimeout tomlfile.Duration `toml:"first_byte_timeout"`
	// SilenceTimeout is the same limit for the gap between later bytes.
	SilenceTimeout tomlfile.Duration `toml:"silence_timeout"`
	// ReportInterval is the interval at which targets are asked for their load.
	ReportInterval   tomlfile.Duration `toml:"report_interval"`
	MaxResponseBytes int               `toml:"max_answer_bytes"`
}

// Groups configures the repair of replica groups.
type Groups struct {
	// WaitBeforeReplace is how long a missing member may take to come back before
	// it is replaced.
	WaitBeforeReplace tomlfile.Duration `toml:"wait_before_replace"`
	// Repair is the repair strategy, one of the Repair constants.
	Repair string `toml:"repair"`
}

// Repair strategies for a replica group that has lost a member.
const (
	// RepairScored chooses between a spare VM and merging several broken groups
	// into one.
	RepairScored = "scored"
	// RepairOwnMember waits for the missing member to come back.
	RepairOwnMember = "own-member"
	// RepairSpareAtOnce takes a spare VM without waiting and never merges groups.
	RepairSpareAtOnce = "spare-at-once"
)

// Once configures the log streams of at-most-once requests.
type Once struct {
	// Shards is the number of streams. It must be the same on all daemons.
	Shards int `toml:"shards"`
	// MaxKeyAge is the age up to which a request's key is accepted, at most half
	// of the log's retention.
	MaxKeyAge tomlfile.Duration `toml:"max_key_age"`
}

// Limits bounds the resources that a caller's connections and requests take.
type Limits struct {
	MaxBodyBytes   int               `toml:"max_body_bytes"`
	MaxHeaderBytes int               `toml:"max_header_bytes"`
	MaxConnections int               `toml:"max_connections"`
	IdleTimeout    tomlfile.Duration `toml:"idle_timeout"`
	ReadTimeout    tomlfile.Duration `toml:"read_timeout"`
	// LocalOnly makes the daemon enforce the limits of targets on its own requests
	// alone, regardless of what other daemons send. It serves as the baseline in
	// measurements.
	LocalOnly bool `toml:"local"`
}

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	// UnreadyDelay is how long the daemon still accepts requests after it has
	// reported that it is not ready, so that the load balancer can notice.
	UnreadyDelay tomlfile.Duration `toml:"unready"`
	// DrainTimeout bounds the wait for requests in flight to finish.
	DrainTimeout tomlfile.Duration `toml:"drain"`
}

// Log configures the daemon's diagnostic log.
type Log struct {
	// Verbosity is klog's verbosity level; 0 logs what an operator needs.
	Verbosity int `toml:"verbosity"`
}

// Default returns the settings with the values that apply if a file leaves them
// out. Settings without a default are zero.
func Default() Settings {
	return Settings{
		Platform: Platform{
			Timeout:         dur(2 * time.Second),
			LogRetention:    dur(24 * time.Hour),
			SnapshotRecords: 1000,
		},
		Members: Members{
			ProbeInterval: dur(time.Second),
			LeaveAfter:    dur(time.Minute),
			IsolatedAfter: dur(3 * time.Second),
		},
		Targets: Targets{
			DialTimeout:      dur(time.Second),
			FirstByteTimeout: dur(5 * time.Second),
			SilenceTimeout:   dur(1500 * time.Millisecond),
			ReportInterval:   dur(500 * time.Millisecond),
			MaxResponseBytes: 8 << 20,
		},
		Groups: Groups{WaitBeforeReplace: 0, Repair: RepairScored},
		Once:   Once{Shards: 8, MaxKeyAge: dur(time.Hour)},
		Limits: Limits{
			MaxBodyBytes:   1 << 20,
			MaxHeaderBytes: 16 << 10,
			MaxConnections: 10_000,
			IdleTimeout:    dur(time.Minute),
			ReadTimeout:    dur(30 * time.Second),
		},
		Shutdown: Shutdown{UnreadyDelay: dur(3 * time.Second), DrainTimeout: dur(time.Minute)},
	}
}

func dur(d time.Duration) tomlfile.Duration { return tomlfile.Duration(d) }

// Read reads and validates the settings file at path.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fault.Wrap(fault.BadInput, err, "name a readable settings file with -c", "read settings file")
	}
	return Parse(path, data)
}

// Parse decodes and validates settings; name is used in errors. All errors are
// returned at once, joined.
func Parse(name string, data []byte) (Settings, error) {
	s := Default()
	if err := tomlfile.Decode(name, data, &s); err != nil {
		return s, errors.Join(err, s.Check())
	}
	return s, s.Check()
}
