package routes

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
)

// MaxKeyBytes bounds a key. Longer ones are refused before they are hashed.
const MaxKeyBytes = 4096

const (
	keyHashLabel = "filbertledge workspace key\x00"
	keySaltLabel = "filbertledge workspace key salt"
)

// KeyHash identifies a key within a process and on the links between VMs, so that neither holds the key itself longer than
// needed.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash {
	return sha256.Sum256(append([]byte(keyHashLabel), key...))
}

// DefinedWorkspace is a workspace with its keys, as the operators define it.
type DefinedWorkspace struct {
	Name     string
	Priority int
	Keys     []string
}

// DefineWorkspaces sets the workspaces; requests on routes that are not public then need one of their keys. The keys are
// kept as keyed hashes. The salt is derived from Document, which must be set, so that all replicas of the state that parse
// it hold the same hashes. It differs from one version of the configuration to the next.
func (c *Configuration) DefineWorkspaces(list []DefinedWorkspace) {
	c.RequiresKeys = true
	salt := hmac.New(sha256.New, []byte(keySaltLabel))
	salt.Write(c.Document)
	c.KeySalt = salt.Sum(nil)
	c.Workspaces = make([]Workspace, 0, len(list))
	for _, d := range list {
		w := Workspace{Name: d.Name, Priority: d.Priority}
		for _, key := range d.Keys {
			w.KeyDigests = append(w.KeyDigests, c.keyDigest(HashKey(key)))
		}
		c.Workspaces = append(c.Workspaces, w)
	}
}

// keyDigest returns the keyed hash of a key.
func (c *Configuration) keyDigest(h KeyHash) []byte {
	mac := hmac.New(sha256.New, c.KeySalt)
	mac.Write(h[:])
	return mac.Sum(nil)
}

// keyIndex maps the first bytes of the digest of each key to the keys that begin with them.
type keyIndex map[uint64][]indexedKey

type indexedKey struct {
	digest    []byte
	workspace int // in Configuration.Workspaces
}

// WorkspaceOf returns the workspace of a key, or nil if no workspace has it. The candidates are found by a part of the
// salted digest, which callers cannot choose, and compared in constant time.
func (c *Configuration) WorkspaceOf(h KeyHash) *Workspace {
	index := c.keys.Load()
	if index == nil {
		index = c.buildKeyIndex()
		c.keys.Store(index)
	}
	digest := c.keyDigest(h)
	var found *Workspace
	for _, k := range (*index)[binary.BigEndian.Uint64(digest)] {
		if subtle.ConstantTimeCompare(k.digest, digest) == 1 {
			found = &c.Workspaces[k.workspace]
		}
	}
	return found
}

func (c *Configuration) buildKeyIndex() *keyIndex {
	index := keyIndex{}
	for i := range c.Workspaces {
		for _, digest := range c.Workspaces[i].KeyDigests {
			if len(digest) == sha256.Size {
				prefix := binary.BigEndian.Uint64(digest)
				index[prefix] = append(index[prefix], indexedKey{digest, i})
			}
		}
	}
	return &index
}

// validateWorkspaces returns an error for workspaces that share a name or a key.
func (c *Configuration) validateWorkspaces() error {
	names, owners := map[string]bool{}, map[string]string{}
	for _, w := range c.Workspaces {
		if w.Name == "" || names[w.Name] {
			return invalid("give each workspace a unique name", "workspace name %q is empty or not unique", w.Name)
		}
		names[w.Name] = true
		for _, digest := range w.KeyDigests {
			if owner, taken := owners[string(digest)]; taken && owner != w.Name {
				return invalid("give each workspace keys of its own", "workspaces %q and %q share a key", owner, w.Name)
			}
			owners[string(digest)] = w.Name
		}
	}
	return nil
}
