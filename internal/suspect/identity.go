// Package suspect follows under which requests engines end, and decides which
// requests are not sent any more. It does no I/O: the caller states that an engine
// has ended, and carries the news to other daemons. History is the decision on the
// crashes of one request, for both interfaces.
package suspect

import (
	"net/url"
	"strconv"
	"strings"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

// partBit is set in the fingerprints of parts of prompts, and not in those of requests.
const partBit Fingerprint = 1

// isPart reports whether the fingerprint is that of a part of prompts.
func (f Fingerprint) isPart() bool { return f&partBit != 0 }

// maxParts bounds the parts of a prompt by which a request is recognised.
const maxParts = 16

// Identity is what a request is recognised by when it comes again, at any daemon.
type Identity struct {
	// Request recognises the request itself.
	Request Fingerprint
	// Parts recognise the parts of its prompt that other requests may share, in the
	// order of Request.SharedParts.
	Parts []Fingerprint
}

// Request is what identifies a request. Other properties differ between attempts of one
// client.
type Request struct {
	// Service is the one to which the request is sent. A route may choose another one for
	// the next attempt.
	Service string
	// Method, Host and Target are as the client sent them.
	Method, Host, Target string
	// Caller is the name of the client's tenant.
	Caller string
	Body   []byte
	// SharedParts are the ids of the parts of the prompt that other requests may
	// share.
	SharedParts []string
}

// Identify returns the identity of a request. The request itself is the same in all
// services; the same part counts apart in each service.
func Identify(r *Request) Identity {
	scope := strings.Join([]string{"request", r.Method, normalizedHost(r.Host), normalizedTarget(r.Target), r.Caller, ""}, "\x00")
	id := Identity{Request: Fingerprint(shard.Hash(scope+strconv.FormatUint(shard.HashBytes(r.Body), 16))) &^ partBit}
	for _, part := range r.SharedParts[:min(len(r.SharedParts), maxParts)] {
		id.Parts = append(id.Parts, Fingerprint(shard.Hash("part\x00"+r.Service+"\x00"+part))|partBit)
	}
	return id
}

// normalizedHost returns a host in lower case, without a port and the root's dot.
func normalizedHost(host string) string {
	host = strings.ToLower(host)
	if name, port, ok := strings.Cut(host, ":"); ok && !strings.Contains(port, ":") {
		host = name
	}
	return strings.TrimSuffix(host, ".")
}

// normalizedTarget returns a request target without escapes.
func normalizedTarget(target string) string {
	if decoded, err := url.PathUnescape(target); err == nil {
		return decoded
	}
	return target
}

// fingerprints returns the fingerprints of the request and its parts.
func (i *Identity) fingerprints() []Fingerprint {
	return append([]Fingerprint{i.Request}, i.Parts...)
}

// Text returns a fingerprint as it appears in logs.
func Text(f Fingerprint) string { return strconv.FormatUint(uint64(f), 16) }
