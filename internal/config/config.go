// Package config reads and checks the settings of a daemon. It opens no
// connections; secrets stay in files that the settings name.
package config

import (
	"errors"
	"os"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

// Settings are all settings of one daemon.
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

// Daemon says who this daemon is.
type Daemon struct {
	ID            string `toml:"id"`
	FailureDomain string `toml:"failure_domain"`
}

// Listen gives the addresses of the daemon's servers, each host:port.
type Listen struct {
	// Callers serves requests, Operators serves edits, status and metrics.
	Callers   string `toml:"callers"`
	Operators string `toml:"operators"`
	// Peers is used for TCP and UDP.
	Peers string `toml:"peers"`
	// AdvertisePeers is the address that other daemons use instead of Peers,
	// where something between them translates it; empty means Peers.
	AdvertisePeers string `toml:"advertise_peers"`
}

// Secrets names the files that hold tokens and keys.
type Secrets struct {
	// ClusterKeyFile holds the key that daemons share; a second line holds the
	// previous key during a rotation.
	ClusterKeyFile string `toml:"cluster_key_file"`
	// TokensFile holds the callers' and operators' tokens.
	TokensFile string `toml:"tokens_file"`
}

// Platform gives the URLs of the platform's services.
type Platform struct {
	LogURL     string            `toml:"log"`
	VMListURL  string            `toml:"vms"`
	WeightsURL string            `toml:"weights"`
	Timeout    tomlfile.Duration `toml:"timeout"`
	// LogRetention is how long the log keeps records.
	LogRetention tomlfile.Duration `toml:"log_retention"`
	// SnapshotRecords is the number of records after which a snapshot is due.
	SnapshotRecords int `toml:"snapshot_records"`
}

// Members tunes the failure detector.
type Members struct {
	// Seeds are peers' addresses to start from.
	Seeds         []string          `toml:"seeds"`
	ProbeInterval tomlfile.Duration `toml:"probe_interval"`
	// LeaveAfter is how long a dead daemon counts for the majority.
	LeaveAfter tomlfile.Duration `toml:"leave_after"`
	// IsolatedAfter is how long a daemon serves without a view that it can trust.
	IsolatedAfter tomlfile.Duration `toml:"isolated_after"`
}

// Targets tunes the request path.
type Targets struct {
	DialTimeout tomlfile.Duration `toml:"dial_timeout"`
	// FirstByteTimeout is how long an idempotent request waits for the first byte of
	// an answer before its connection is doubted, Silence the wait for each
	// later one.
	FirstByteTimeout tomlfile.Duration `toml:"first_byte_timeout"`
	SilenceTimeout   tomlfile.Duration `toml:"silence_timeout"`
	ReportInterval   tomlfile.Duration `toml:"report_interval"`
	MaxResponseBytes int               `toml:"max_answer_bytes"`
}

// Groups tunes the repair of replica groups.
type Groups struct {
	// WaitBeforeReplace is how long a missing member is awaited before it is replaced.
	WaitBeforeReplace tomlfile.Duration `toml:"wait_before_replace"`
	// Repair names the way to mend a broken group, one of the Repair constants.
	Repair string `toml:"repair"`
}

// The ways to mend a broken group.
const (
	// RepairScored takes a spare or makes one group of several broken ones.
	RepairScored = "scored"
	// RepairOwnMember waits for the lost member.
	RepairOwnMember = "own-member"
	// RepairSpareAtOnce takes a spare without waiting and never makes one group
	// of several.
	RepairSpareAtOnce = "spare-at-once"
)

// Once tunes the at-most-once streams.
type Once struct {
	// Shards is the number of streams; the same on all daemons.
	Shards int `toml:"shards"`
	// MaxKeyAge is the age up to which a key is accepted; below the log's retention.
	MaxKeyAge tomlfile.Duration `toml:"max_key_age"`
}

// Limits bounds what a caller controls.
type Limits struct {
	MaxBodyBytes   int               `toml:"max_body_bytes"`
	MaxHeaderBytes int               `toml:"max_header_bytes"`
	MaxConnections int               `toml:"max_connections"`
	IdleTimeout    tomlfile.Duration `toml:"idle_timeout"`
	ReadTimeout    tomlfile.Duration `toml:"read_timeout"`
	// LocalOnly makes the daemon limit targets by itself, without regard to what
	// other daemons send: only to measure against.
	LocalOnly bool `toml:"local"`
}

// Shutdown times the steps of a graceful end.
type Shutdown struct {
	// UnreadyDelay is how long the daemon still accepts work after its readiness
	// answer has changed, for the balancer to notice.
	UnreadyDelay tomlfile.Duration `toml:"unready"`
	// DrainTimeout bounds the wait for requests in flight.
	DrainTimeout tomlfile.Duration `toml:"drain"`
}

// Log tunes the daemon's own log.
type Log struct {
	// Verbosity is klog's level; 0 logs what an operator needs.
	Verbosity int `toml:"verbosity"`
}

// Default returns the settings that a file starts from.
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

// Read reads and checks the settings file at path.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fault.Wrap(fault.BadInput, err, "name a readable settings file with -c", "read settings")
	}
	return Parse(path, data)
}

// Parse decodes and checks settings; name is used in errors. All mistakes are
// returned at once, joined.
func Parse(name string, data []byte) (Settings, error) {
	s := Default()
	if err := tomlfile.Decode(name, data, &s); err != nil {
		return s, errors.Join(err, s.Check())
	}
	return s, s.Check()
}
