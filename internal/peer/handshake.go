package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/wire"
)

const nonceBytes = 32

// The role of the signing end is part of its MAC, so that a MAC cannot be
// reflected to the end that sent it.
const (
	roleClient = "client"
	roleServer = "server"
)

const keyMismatchRemedy = "check that both daemons use the same cluster key file"

// transcript is the handshake data that both ends authenticate with a MAC.
type transcript struct {
	server, client           string
	serverNonce, clientNonce []byte
}

// mac returns the HMAC-SHA-256 over role and the transcript's fields. Each field
// has a length prefix, so that different transcripts give different inputs.
func (t transcript) mac(key []byte, role string) []byte {
	h := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(role), []byte(t.server), []byte(t.client), t.serverNonce, t.clientNonce} {
		var size [4]byte
		binary.BigEndian.PutUint32(size[:], uint32(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return h.Sum(nil)
}

// verifyingKey returns the key for which mac is valid, or nil. It tries every
// key and compares in constant time, so that its duration does not reveal which
// key matched.
func (t transcript) verifyingKey(keys [][]byte, role string, mac []byte) []byte {
	var found []byte
	for _, k := range keys {
		if len(k) > 0 && hmac.Equal(t.mac(k, role), mac) {
			found = k
		}
	}
	return found
}

func newNonce() []byte {
	n := make([]byte, nonceBytes)
	_, _ = rand.Read(n) // crypto/rand never returns an error; it aborts the program instead
	return n
}

// serverHandshake performs the server's half of the mutual authentication and
// returns the client's identity.
func serverHandshake(rw io.ReadWriter, self string, keys Keys) (string, error) {
	t := transcript{server: self, serverNonce: newNonce()}
	if err := send(rw, &wire.Challenge{Server: self, Nonce: t.serverNonce}); err != nil {
		return "", err
	}
	var proof wire.Proof
	if err := receive(rw, &proof); err != nil {
		return "", err
	}
	t.client, t.clientNonce = proof.Client, proof.Nonce
	key := t.verifyingKey(keys.Keys(), roleClient, proof.MAC)
	if key == nil || len(proof.Nonce) != nonceBytes || proof.Client == "" {
		err := fault.Refuse(fault.Unauthorized, keyMismatchRemedy, "peer %q failed the handshake", proof.Client)
		_ = writeMessage(rw, wire.Frame{Flags: wire.FlagResponse | wire.FlagError}, wire.FromFault(err))
		return "", err
	}
	return t.client, send(rw, &wire.Welcome{MAC: t.mac(key, roleServer)})
}

// clientHandshake performs the client's half of the mutual authentication and
// returns the server's identity.
func clientHandshake(rw io.ReadWriter, self string, keys Keys) (string, error) {
	var challenge wire.Challenge
	if err := receive(rw, &challenge); err != nil {
		return "", err
	}
	clusterKeys := keys.Keys()
	if len(clusterKeys) == 0 {
		return "", fault.Refuse(fault.Unauthorized, "put a key into the cluster key file", "no cluster key")
	}
	t := transcript{server: challenge.Server, client: self, serverNonce: challenge.Nonce, clientNonce: newNonce()}
	proof := &wire.Proof{Client: self, Nonce: t.clientNonce, MAC: t.mac(clusterKeys[0], roleClient)}
	if err := send(rw, proof); err != nil {
		return "", err
	}
	var welcome wire.Welcome
	if err := receive(rw, &welcome); err != nil {
		return "", err
	}
	if t.verifyingKey(clusterKeys, roleServer, welcome.MAC) == nil {
		return "", fault.Refuse(fault.Unauthorized, keyMismatchRemedy, "server %q failed the handshake", challenge.Server)
	}
	return challenge.Server, nil
}

func send(w io.Writer, m wire.Message) error { return writeMessage(w, wire.Frame{}, m) }

// writeMessage writes f with the type and encoding of m.
func writeMessage(w io.Writer, f wire.Frame, m wire.Message) error {
	body, err := wire.Marshal(m)
	if err != nil {
		return err
	}
	f.Type, f.Body = m.WireType(), body
	return wire.WriteFrame(w, f)
}

// receive reads a handshake message into m. It returns an error response of the
// peer as an error.
func receive(r io.Reader, m wire.Message) error {
	f, err := wire.ReadFrameLimit(r, maxHandshakeFrameBytes)
	if err != nil {
		return err
	}
	if f.Type == wire.TypeError {
		return decodeError(f.Body)
	}
	if f.Type != m.WireType() {
		return fault.Refuse(fault.BadInput, "check that the peer speaks this protocol", "handshake received message type %d, want %d", f.Type, m.WireType())
	}
	return wire.Unmarshal(f.Body, m)
}

func decodeError(body []byte) error {
	var e wire.Error
	if err := wire.Unmarshal(body, &e); err != nil {
		return err
	}
	return e.Fault()
}
