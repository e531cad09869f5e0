// Package auth tells callers, operators and peers apart by secrets from files.
// Files are read again after a change, without a restart; a file that turns
// unreadable leaves the last good secrets in force.
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
	// MinSecretBytes is the shortest token or key that is accepted.
	MinSecretBytes = 16
	// recheckInterval bounds how often a file's change time is looked at.
	recheckInterval = time.Second
)

// Caller is a credential of a workspace.
type Caller struct {
	Workspace string `toml:"workspace"`
	Token     string `toml:"token"`
}

// Operator is a credential of a person who edits the tables.
type Operator struct {
	Name  string `toml:"name"`
	Token string `toml:"token"`
}

// tokenFile is the content of the tokens file.
type tokenFile struct {
	Callers   []Caller   `toml:"caller"`
	Operators []Operator `toml:"operator"`
}

type credential struct {
	digest [sha256.Size]byte
	name   string
}

// Tokens looks up bearer tokens.
type Tokens struct {
	file      watched
	mu        sync.RWMutex
	callers   []credential
	operators []credential
}

// OpenTokens reads the tokens file at path.
func OpenTokens(path string) (*Tokens, error) {
	t := &Tokens{file: watched{path: path}}
	data, _, err := t.file.read(time.Now())
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

func (f tokenFile) check(path string) error {
	var errs []error
	seen := make(map[string]struct{})
	add := func(kind, name, token string) {
		at := path + ": " + kind + " " + name
		if name == "" {
			errs = append(errs, fault.Invalid(at, "name it", "name is missing"))
		}
		if len(token) < MinSecretBytes {
			errs = append(errs, fault.Invalid(at, "use a longer random token", "token is shorter than %d bytes", MinSecretBytes))
		}
		if _, dup := seen[token]; dup {
			errs = append(errs, fault.Invalid(at, "give each a token of its own", "token is used twice"))
		}
		seen[token] = struct{}{}
	}
	for _, c := range f.Callers {
		add("caller", c.Workspace, c.Token)
	}
	for _, o := range f.Operators {
		add("operator", o.Name, o.Token)
	}
	return errors.Join(errs...)
}

func (t *Tokens) refresh() {
	data, changed, err := t.file.read(time.Now())
	if err == nil && changed {
		err = t.parse(data)
	}
	if err != nil {
		klog.ErrorS(err, "Tokens file was not taken over; the last good one stays in force", "path", t.file.path)
	}
}

// Workspace returns the workspace that the token belongs to.
func (t *Tokens) Workspace(token string) (string, bool) {
	t.refresh()
	t.mu.RLock()
	defer t.mu.RUnlock()
	return find(t.callers, token)
}

// Operator returns the operator whom the token belongs to.
func (t *Tokens) Operator(token string) (string, bool) {
	t.refresh()
	t.mu.RLock()
	defer t.mu.RUnlock()
	return find(t.operators, token)
}

// find compares with every credential, so that its time does not tell which
// one came close.
func find(list []credential, token string) (string, bool) {
	digest := sha256.Sum256([]byte(token))
	name, found := "", false
	for _, c := range list {
		if subtle.ConstantTimeCompare(c.digest[:], digest[:]) == 1 {
			name, found = c.name, true
		}
	}
	return name, found
}

// ClusterKeys holds the key that daemons share, and the previous one.
type ClusterKeys struct {
	file watched
	mu   sync.RWMutex
	keys [][]byte
}

// OpenClusterKeys reads the cluster key file: the current key on the first
// line, and optionally the previous one on the second.
func OpenClusterKeys(path string) (*ClusterKeys, error) {
	k := &ClusterKeys{file: watched{path: path}}
	data, _, err := k.file.read(time.Now())
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
		return fault.Invalid(k.file.path, "write the key on the first line and at most a previous one on the second", "file holds %d keys", len(keys))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = keys
	return nil
}

// Keys returns the accepted keys, the current one first.
func (k *ClusterKeys) Keys() [][]byte {
	data, changed, err := k.file.read(time.Now())
	if err == nil && changed {
		err = k.parse(data)
	}
	if err != nil {
		klog.ErrorS(err, "Cluster key file was not taken over; the last good one stays in force", "path", k.file.path)
	}
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.keys
}

// watched is a file that is read when its change time differs from the last one seen.
type watched struct {
	path    string
	mu      sync.Mutex
	checked time.Time
	changed time.Time
	size    int64
}

// read returns the content if it changed since the last call, looking at most
// once per recheckInterval.
func (w *watched) read(now time.Time) ([]byte, bool, error) {
	if !w.due(now) {
		return nil, false, nil
	}
	info, err := os.Stat(w.path)
	if err != nil {
		return nil, false, fault.Wrap(fault.BadInput, err, "make the file readable", "read %s", w.path)
	}
	if !w.differs(info) {
		return nil, false, nil
	}
	data, err := os.ReadFile(w.path)
	if err != nil {
		return nil, false, fault.Wrap(fault.BadInput, err, "make the file readable", "read %s", w.path)
	}
	return data, true, nil
}

func (w *watched) due(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.checked) < recheckInterval {
		return false
	}
	w.checked = now
	return true
}

func (w *watched) differs(info os.FileInfo) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if info.ModTime().Equal(w.changed) && info.Size() == w.size {
		return false
	}
	w.changed, w.size = info.ModTime(), info.Size()
	return true
}
