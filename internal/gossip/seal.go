package gossip

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// macBytes is the length of the truncated MAC.
	macBytes = 16
	// sealBytes is the overhead of a sealed datagram: the version byte and the MAC.
	sealBytes = 1 + macBytes
)

// macLabel separates the MAC of a datagram from MACs under the same key in
// other protocols.
const macLabel = "ragwortquay member datagram"

// mac returns the truncated MAC of the signed bytes.
func mac(key, signed []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(macLabel))
	h.Write(signed)
	return h.Sum(nil)[:macBytes]
}

// seal returns a datagram of the version byte, body and their MAC under key.
func seal(key, body []byte) []byte {
	d := make([]byte, 0, len(body)+sealBytes)
	d = append(d, wire.Version)
	d = append(d, body...)
	return append(d, mac(key, d)...)
}

// open returns the body of a datagram whose version is known and whose MAC is
// valid under one of the keys.
func open(keys [][]byte, d []byte) ([]byte, bool) {
	if len(d) < sealBytes || len(d) > wire.MaxDatagramBytes || d[0] != wire.Version {
		return nil, false
	}
	signed, sum := d[:len(d)-macBytes], d[len(d)-macBytes:]
	ok := false
	for _, k := range keys {
		if len(k) > 0 && hmac.Equal(mac(k, signed), sum) {
			ok = true
		}
	}
	return signed[1:], ok
}
