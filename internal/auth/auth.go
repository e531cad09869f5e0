// Package auth authenticates callers, operators and peers by secrets from files.
// A changed file is read again without a restart; if it cannot be read or is
// invalid, the secrets read before remain in use.
package auth

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"os"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/ragwortquay/ragwortquay/internal/fault"
	"github.com/ragwortquay/ragwortquay/internal/tomlfile"
)

const (
	// MinSecretBytes is the minimum length of a token or key.
	MinSecretBytes = 16
	// recheckInterval is the minimum time between two checks of whether a file has
	// changed.
	recheckInterval = time.Second
)

// Caller is the credential of a workspace in the tokens file.
type Caller struct {
	Workspace string `toml:"workspace"`
	Token     string `toml:"token"`
}

// Operator is the credential of a person who may edit the tables, in the tokens
// file.
type Operator struct {
	Name  string `toml:"name"`
	Token string `toml:"token"`
}

// tokenFile is the content of the tokens file.
type tokenFile struct {
	Callers   []Caller   `toml:"caller"`
	Operators []Operator `toml:"operator"`
}

// credential is the digest of a token and the name of its workspace or operator.
type credential struct {
	digest [sha256.Size]byte
	name   string
}

// Tokens maps the bearer tokens of a tokens file to workspaces and operators. It
// is safe for concurrent use.
type Tokens struct {
	file      watchedFile
	mu        sync.RWMutex
	callers   []credential
	operators []credential
}

// OpenTokens reads and validates the tokens file at path.
func OpenTokens(path string) (*Tokens, error) {
	t := &Tokens{file: watchedFile{path: path}}
	data, _, err := t.file.readIfChanged(time.Now())
	if err != nil {
		return nil, err
	}
	return t, t.parse(data)
}

func (t *Tokens) parse(data []byte) error {
	var f tokenFile
	if err := tomlfile.Decode(t.file.path, data, &f); err != nil {
		return err
	}
	if err := f.check(t.file.path); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callers, t.operators = nil, nil
	for _, c := range f.Callers {
		t.callers = append(t.callers, credential{sha256.Sum256([]byte(c.Token)), c.Workspace})
	}
	for _, o := range f.Operators {
		t.operators = append(t.operators, credential{sha256.Sum256([]byte(o.Token)), o.Name})
	}
	return nil
}

// check returns all errors in the file, joined.
func (f tokenFile) check(path string) error {
	var errs []error
	seen := make(map[string]struct{})
	checkCredential := func(kind, name, token string) {
		field := path + ": " + kind + " " + name
		if name == "" {
			errs = append(errs, fault.Invalid(field, "set the name", "name is missing"))
		}
		if len(token) < MinSecretBytes {
			errs = append(errs, fault.Invalid(field, "use a longer random token", "token is shorter than %d bytes", MinSecretBytes))
		}
		if _, dup := seen[token]; dup {
			errs = append(errs, fault.Invalid(field, "use a unique token for each", "token is used twice"))
		}
		seen[token] = struct{}{}
	}
	for _, c := range f.Callers {
		checkCredential("caller", c.Workspace, c.Token)
	}
	for _, o := range f.Operators {
		checkCredential("operator", o.Name, o.Token)
	}
	return errors.Join(errs...)
}

// refresh reloads the tokens if the file has changed. If that fails, it logs the
// error and keeps the tokens.
func (t *Tokens) refresh() {
	data, changed, err := t.file.readIfChanged(time.Now())
	if err == nil && changed {
		err = t.parse(data)
	}
	if err != nil {
		klog.ErrorS(err, "failed to reload the tokens file; the previous tokens remain in use", "path", t.file.path)
	}
}

// Workspace returns the workspace of a caller's token, and whether the token is
// known.
func (t *Tokens) Workspace(token string) (string, bool) {
	t.refresh()
	t.mu.RLock()
	defer t.mu.RUnlock()
	return lookup(t.callers, token)
}

// Operator returns the name of an operator's token, and whether the token is
// known.
func (t *Tokens) Operator(token string) (string, bool) {
	t.refresh()
	t.mu.RLock()
	defer t.mu.RUnlock()
	return lookup(t.operators, token)
}

// lookup returns the name of the token's credential. It compares the token with
// all credentials in constant time, so that its duration reveals nothing about
// them.
func lookup(list []credential, token string) (string, bool) {
	digest := sha256.Sum256([]byte(token))
	name, found := "", false
	for _, c := range list {
		if subtle.ConstantTimeCompare(c.digest[:], digest[:]) == 1 {
			name, found = c.name, true
		}
	}
	return name, found
}

// ClusterKeys holds the key that all daemons share and, during a rotation, the
// previous one. It is safe for concurrent use.
type ClusterKeys struct {
	file watchedFile
	mu   sync.RWMutex
	keys [][]byte
}

// OpenClusterKeys reads the cluster key file at path: the current key on the
// first line and optionally the previous one on the second.
func OpenClusterKeys(path string) (*ClusterKeys, error) {
	k := &ClusterKeys{file: watchedFile{path: path}}
	data, _, err := k.file.readIfChanged(time.Now())
	if err != nil {
		return nil, err
	}
	return k, k.parse(data)
}

func (k *ClusterKeys) parse(data []byte) error {
	var keys [][]byte
	for line := range bytes.Lines(data) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		if len(line) < MinSecretBytes {
			return fault.Invalid(k.file.path, "use a longer random key", "key is shorter than %d bytes", MinSecretBytes)
		}
		keys = append(keys, bytes.Clone(line))
	}
	if len(keys) == 0 || len(keys) > 2 {
		return fault.Invalid(k.file.path, "write the current key on the first line and optionally the previous one on the second", "file holds %d keys, want 1 or 2", len(keys))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = keys
	return nil
}

// Keys returns the accepted keys, the current one first. It reloads the file if
// it has changed; if that fails, it logs the error and keeps the keys.
func (k *ClusterKeys) Keys() [][]byte {
	data, changed, err := k.file.readIfChanged(time.Now())
	if err == nil && changed {
		err = k.parse(data)
	}
	if err != nil {
		klog.ErrorS(err, "failed to reload the cluster key file; the previous keys remain in use", "path", k.file.path)
	}
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.keys
}

// watchedFile is a file that is read again when its modification time or size
// has changed.
type watchedFile struct {
	path      string
	mu        sync.Mutex
	lastCheck time.Time
	modTime   time.Time
	size      int64
}

// readIfChanged returns the content and true if the file has changed since the
// last call. It checks at most once per recheckInterval.
func (w *watchedFile) readIfChanged(now time.Time) ([]byte, bool, error) {
	if !w.checkDue(now) {
		return nil, false, nil
	}
	info, err := os.Stat(w.path)
	if err != nil {
		return nil, false, fault.Wrap(fault.BadInput, err, "make the file readable", "read %s", w.path)
	}
	if !w.updateStat(info) {
		return nil, false, nil
	}
	data, err := os.ReadFile(w.path)
	if err != nil {
		return nil, false, fault.Wrap(fault.BadInput, err, "make the file readable", "read %s", w.path)
	}
	return data, true, nil
}

// checkDue reports whether recheckInterval has passed since the last check, and
// if so records now as the time of the check.
func (w *watchedFile) checkDue(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.lastCheck) < recheckInterval {
		return false
	}
	w.lastCheck = now
	return true
}

// updateStat records the file's modification time and size and reports whether
// they have changed.
func (w *watchedFile) updateStat(info os.FileInfo) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if info.ModTime().Equal(w.modTime) && info.Size() == w.size {
		return false
	}
	w.modTime, w.size = info.ModTime(), info.Size()
	return true
}
