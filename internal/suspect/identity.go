// Package suspect follows under which requests engines end, and decides which
// requests are not sent any more. It does no I/O: the caller states that an engine
// has ended, and carries the news to other daemons. The decision on the crashes of
// one request is that of package retry.
package suspect

import (
	"strconv"

	"github.com/ragwortquay/ragwortquay/internal/retry"
	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// Identity is what a request is recognised by when it comes again, at any daemon.
type Identity struct {
	// Request recognises the request itself.
	Request retry.Fingerprint
}

// Identify returns the identity of a request to a service: its method, target,
// caller and body. Other headers differ between attempts of one client.
func Identify(service, method, target, caller string, body []byte) Identity {
	scope := "request\x00" + service + "\x00" + method + "\x00" + target + "\x00" + caller + "\x00"
	return Identity{Request: retry.Fingerprint(shard.Hash(scope + strconv.FormatUint(shard.HashBytes(body), 16)))}
}

func (i *Identity) fingerprints() []retry.Fingerprint { return []retry.Fingerprint{i.Request} }

// Text returns a fingerprint as it appears in logs.
func Text(f retry.Fingerprint) string { return strconv.FormatUint(uint64(f), 16) }
