package config

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

// Limits of the settings' values.
const (
	maxPort       = 65535
	maxShards     = 1024
	maxBytes      = 1 << 30
	maxConns      = 1_000_000
	minInterval   = 10 * time.Millisecond
	maxInterval   = time.Hour
	maxRetention  = 365 * 24 * time.Hour
	minRetention  = 10 * time.Second
	keyAgeDivisor = 2 // a key must expire well before the log drops its record
)

// Check returns all errors in the settings, joined, or nil.
func (s Settings) Check() error {
	return errors.Join(
		checkNotEmpty("daemon.id", s.Daemon.ID),
		checkNotEmpty("daemon.failure_domain", s.Daemon.FailureDomain),
		checkAddr("listen.callers", s.Listen.Callers),
		checkAddr("listen.operators", s.Listen.Operators),
		checkAddr("listen.peers", s.Listen.Peers),
		s.checkAdvertisedAddr(),
		s.checkDistinctAddrs(),
		checkNotEmpty("secrets.cluster_key_file", s.Secrets.ClusterKeyFile),
		checkNotEmpty("secrets.tokens_file", s.Secrets.TokensFile),
		s.Platform.check(),
		s.Members.check(),
		s.Targets.check(),
		s.Groups.check(),
		s.checkOnce(),
		s.Limits.check(),
		checkDuration("shutdown.unready", s.Shutdown.UnreadyDelay, 0, maxInterval),
		checkDuration("shutdown.drain", s.Shutdown.DrainTimeout, 0, maxInterval),
		fault.CheckRange("log.verbosity", s.Log.Verbosity, 0, 10),
	)
}

func (s Settings) checkAdvertisedAddr() error {
	if s.Listen.AdvertisePeers == "" {
		return nil
	}
	return checkAddr("listen.advertise_peers", s.Listen.AdvertisePeers)
}

func (s Settings) checkDistinctAddrs() error {
	seen := make(map[string]struct{})
	for _, addr := range []string{s.Listen.Callers, s.Listen.Operators, s.Listen.Peers} {
		if addr == "" || isEphemeral(addr) {
			continue
		}
		if _, dup := seen[addr]; dup {
			return fault.Invalid("listen", "use a different address for each server", "two servers use the address %s", addr)
		}
		seen[addr] = struct{}{}
	}
	return nil
}

// isEphemeral reports whether the system chooses the port of addr.
func isEphemeral(addr string) bool {
	_, port, err := net.SplitHostPort(addr)
	return err == nil && port == "0"
}

func (p Platform) check() error {
	return errors.Join(
		checkURL("platform.log", p.LogURL),
		checkURL("platform.vms", p.VMListURL),
		checkURL("platform.weights", p.WeightsURL),
		checkDuration("platform.timeout", p.Timeout, minInterval, time.Minute),
		checkDuration("platform.log_retention", p.LogRetention, minRetention, maxRetention),
		fault.CheckRange("platform.snapshot_records", p.SnapshotRecords, 10, 1_000_000),
	)
}

func (m Members) check() error {
	errs := []error{
		checkDuration("members.probe_interval", m.ProbeInterval, minInterval, time.Minute),
		checkDuration("members.leave_after", m.LeaveAfter, time.Second, maxInterval),
		checkDuration("members.isolated_after", m.IsolatedAfter, 100*time.Millisecond, time.Minute),
	}
	for i, a := range m.Seeds {
		errs = append(errs, checkAddr(fmt.Sprintf("members.seeds[%d]", i), a))
	}
	return errors.Join(errs...)
}

func (t Targets) check() error {
	return errors.Join(
		checkDuration("targets.dial_timeout", t.DialTimeout, minInterval, time.Minute),
		checkDuration("targets.first_byte_timeout", t.FirstByteTimeout, 100*time.Millisecond, maxInterval),
		checkDuration("targets.silence_timeout", t.SilenceTimeout, 100*time.Millisecond, maxInterval),
		checkDuration("targets.report_interval", t.ReportInterval, minInterval, time.Minute),
		fault.CheckRange("targets.max_answer_bytes", t.MaxResponseBytes, 1, maxBytes),
	)
}

func (g Groups) check() error {
	var err error
	if strategies := []string{RepairScored, RepairOwnMember, RepairSpareAtOnce}; !slices.Contains(strategies, g.Repair) {
		err = fault.Invalid("groups.repair", fmt.Sprintf("use one of %q", strategies), "unknown repair strategy %q", g.Repair)
	}
	return errors.Join(checkDuration("groups.wait_before_replace", g.WaitBeforeReplace, 0, maxInterval), err)
}

func (s Settings) checkOnce() error {
	errs := []error{
		fault.CheckRange("once.shards", s.Once.Shards, 1, maxShards),
		checkDuration("once.max_key_age", s.Once.MaxKeyAge, time.Second, maxRetention),
	}
	if limit := time.Duration(s.Platform.LogRetention) / keyAgeDivisor; time.Duration(s.Once.MaxKeyAge) > limit {
		errs = append(errs, fault.Invalid("once.max_key_age", fmt.Sprintf("use at most %s, half of platform.log_retention", limit), "maximum key age %s is too long", time.Duration(s.Once.MaxKeyAge)))
	}
	return errors.Join(errs...)
}

func (l Limits) check() error {
	return errors.Join(
		fault.CheckRange("limits.max_body_bytes", l.MaxBodyBytes, 1, maxBytes),
		fault.CheckRange("limits.max_header_bytes", l.MaxHeaderBytes, 1024, 1<<20),
		fault.CheckRange("limits.max_connections", l.MaxConnections, 1, maxConns),
		checkDuration("limits.idle_timeout", l.IdleTimeout, minInterval, maxInterval),
		checkDuration("limits.read_timeout", l.ReadTimeout, minInterval, maxInterval),
	)
}

func checkNotEmpty(field, v string) error {
	if v == "" {
		return fault.Invalid(field, "set it", "required setting is missing")
	}
	return nil
}

func checkAddr(field, addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fault.Invalid(field, "use IP:PORT, such as 127.0.0.1:8080", "%q is not of the form IP:PORT", addr)
	}
	if net.ParseIP(host) == nil {
		return fault.Invalid(field, "use an IP address", "%q is not an IP address", host)
	}
	n, err := strconv.Atoi(port)
	if err != nil || n < 0 || n > maxPort {
		return fault.Invalid(field, fmt.Sprintf("use a port from 0 to %d", maxPort), "port %q is out of range", port)
	}
	return nil
}

func checkURL(field, raw string) error {
	u, err := url.Parse(raw)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return fault.Invalid(field, "use http://HOST:PORT", "%q is not a service URL", raw)
	}
	return nil
}

func checkDuration(field string, d tomlfile.Duration, low, high time.Duration) error {
	v := time.Duration(d)
	if v < low || v > high {
		return fault.Invalid(field, fmt.Sprintf("use a duration from %s to %s", low, high), "duration %s is out of range", v)
	}
	return nil
}

// CheckConsistency compares the settings of several daemons and returns all
// conflicts, joined: duplicate ids, duplicate peer addresses, and different
// numbers of at-most-once streams. Errors identify the files by their
// position in settings, counted from 1.
func CheckConsistency(settings []Settings) error {
	var errs []error
	ids := make(map[string]int, len(settings))
	addrs := make(map[string]int, len(settings))
	for i, s := range settings {
		if first, dup := ids[s.Daemon.ID]; dup {
			errs = append(errs, fault.Invalid("daemon.id", "use a unique id for each daemon", "daemon id %q is used by files %d and %d", s.Daemon.ID, first+1, i+1))
		}
		ids[s.Daemon.ID] = i
		if first, dup := addrs[s.Listen.Peers]; dup && !isEphemeral(s.Listen.Peers) {
			errs = append(errs, fault.Invalid("listen.peers", "use a unique address for each daemon", "peer address %q is used by files %d and %d", s.Listen.Peers, first+1, i+1))
		}
		addrs[s.Listen.Peers] = i
		if s.Once.Shards != settings[0].Once.Shards {
			errs = append(errs, fault.Invalid("once.shards", "use the same number on all daemons", "number of shards differs: %d in file %d, %d in file 1", s.Once.Shards, i+1, settings[0].Once.Shards))
		}
	}
	return errors.Join(errs...)
}
