// Package suspect follows under which requests engines end, and decides which
// requests are not sent any more. It does no I/O: the caller states that an engine
// has ended, and carries the news to other daemons. History is the decision on the
// crashes of one request, for both interfaces.
package suspect

import (
	"strconv"

	"github.com/ragwortquay/ragwortquay/internal/shard"
)

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

// Request is what identifies a request to a service. Other properties differ between
// attempts of one client.
type Request struct {
	Service, Method, Target, Caller string
	Body                            []byte
	// SharedParts are the ids of the parts of the prompt that other requests may
	// share.
	SharedParts []string
}

// Identify returns the identity of a request. The same part counts apart in each
// service.
func Identify(r *Request) Identity {
	scope := "request\x00" + r.Service + "\x00" + r.Method + "\x00" + r.Target + "\x00" + r.Caller + "\x00"
	id := Identity{Request: Fingerprint(shard.Hash(scope + strconv.FormatUint(shard.HashBytes(r.Body), 16)))}
	for _, part := range r.SharedParts[:min(len(r.SharedParts), maxParts)] {
		id.Parts = append(id.Parts, Fingerprint(shard.Hash("part\x00"+r.Service+"\x00"+part)))
	}
	return id
}

// fingerprints returns the fingerprints of the request and its parts.
func (i *Identity) fingerprints() []Fingerprint {
	return append([]Fingerprint{i.Request}, i.Parts...)
}

// Text returns a fingerprint as it appears in logs.
func Text(f Fingerprint) string { return strconv.FormatUint(uint64(f), 16) }
