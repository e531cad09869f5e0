package gossip

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const (
	// macBytes is the length of the truncated MAC.
	macBytes = 16
	// sealBytes is what seal adds: the version and the MAC.
	sealBytes = 1 + macBytes
)

// label keeps a datagram's MAC from being one of another protocol.
const label = "ragwortquay member datagram"

func mac(key, signed []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(label))
	h.Write(signed)
	return h.Sum(nil)[:macBytes]
}

// seal returns the datagram that carries body.
func seal(key, body []byte) []byte {
	d := make([]byte, 0, len(body)+sealBytes)
	d = append(d, wire.Version)
	d = append(d, body...)
	return append(d, mac(key, d)...)
}

// open returns the body of a datagram that was sealed under one of the keys.
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
