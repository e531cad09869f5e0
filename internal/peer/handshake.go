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

// The roles keep one end's proof from being reflected as the other's.
const (
	roleClient = "client"
	roleServer = "server"
)

const keyRemedy = "check that both daemons use the same cluster key file"

// transcript is what both ends sign.
type transcript struct {
	server, client           string
	serverNonce, clientNonce []byte
}

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

// verifyingKey returns the key under which mac is right; every key is tried,
// each in constant time.
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
	_, _ = rand.Read(n) // never fails: the runtime aborts when there is no entropy
	return n
}

// acceptHandshake proves both ends to each other and returns the client's identity.
func acceptHandshake(rw io.ReadWriter, self string, keys Keys) (string, error) {
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
		err := fault.Refuse(fault.Unauthorized, keyRemedy, "peer %q failed the handshake", proof.Client)
		_ = writeMessage(rw, wire.Frame{Flags: wire.FlagResponse | wire.FlagError}, wire.FromFault(err))
		return "", err
	}
	return t.client, send(rw, &wire.Welcome{MAC: t.mac(key, roleServer)})
}

// dialHandshake is the client's half; it returns the server's identity.
func dialHandshake(rw io.ReadWriter, self string, keys Keys) (string, error) {
	var challenge wire.Challenge
	if err := receive(rw, &challenge); err != nil {
		return "", err
	}
	all := keys.Keys()
	if len(all) == 0 {
		return "", fault.Refuse(fault.Unauthorized, "put a key into the cluster key file", "no cluster key")
	}
	t := transcript{server: challenge.Server, client: self, serverNonce: challenge.Nonce, clientNonce: newNonce()}
	proof := &wire.Proof{Client: self, Nonce: t.clientNonce, MAC: t.mac(all[0], roleClient)}
	if err := send(rw, proof); err != nil {
		return "", err
	}
	var welcome wire.Welcome
	if err := receive(rw, &welcome); err != nil {
		return "", err
	}
	if t.verifyingKey(all, roleServer, welcome.MAC) == nil {
		return "", fault.Refuse(fault.Unauthorized, keyRemedy, "server %q failed the handshake", challenge.Server)
	}
	return challenge.Server, nil
}

func send(w io.Writer, m wire.Message) error { return writeMessage(w, wire.Frame{}, m) }

// writeMessage completes f with m and writes it.
func writeMessage(w io.Writer, f wire.Frame, m wire.Message) error {
	body, err := wire.Marshal(m)
	if err != nil {
		return err
	}
	f.Type, f.Body = m.WireType(), body
	return wire.WriteFrame(w, f)
}

// receive reads one handshake message into m.
func receive(r io.Reader, m wire.Message) error {
	f, err := wire.ReadFrameLimit(r, handshakeFrameBytes)
	if err != nil {
		return err
	}
	if f.Type == wire.TypeError {
		return decodeError(f.Body)
	}
	if f.Type != m.WireType() {
		return fault.Refuse(fault.BadInput, "check that the peer speaks this protocol", "message type %d in the handshake, want %d", f.Type, m.WireType())
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
