package routes

import (
	"bytes"
	"fmt"
	"testing"
)

func withWorkspaces(document string, list ...DefinedWorkspace) *Configuration {
	c := &Configuration{Document: []byte(document)}
	c.DefineWorkspaces(list)
	return c
}

// Guards against a key that selects no workspace or another one: after a copy without the document, after a move of the key
// in a newer configuration, among many workspaces, and for keys that resemble one of the list.
func TestWorkspaceOf(t *testing.T) {
	var many []DefinedWorkspace
	for i := range 300 {
		many = append(many, DefinedWorkspace{Name: fmt.Sprint("w", i), Keys: []string{fmt.Sprint("key-", i), fmt.Sprint("second-", i)}})
	}
	first := withWorkspaces("1", DefinedWorkspace{Name: "a", Keys: []string{"k1", "k2"}}, DefinedWorkspace{Name: "b"}, DefinedWorkspace{Name: "c", Keys: []string{"k3"}})
	moved := withWorkspaces("2", DefinedWorkspace{Name: "a", Keys: []string{"k2"}}, DefinedWorkspace{Name: "b", Keys: []string{"k1"}})
	for name, c := range map[string]struct {
		configuration *Configuration
		want          map[string]string // by key; empty for none
	}{
		"first":       {first, map[string]string{"k1": "a", "k2": "a", "k3": "c", "": "", "k": "", "K1": "", "k1 ": "", "a": ""}},
		"copy":        {first.WithoutDocument(), map[string]string{"k1": "a", "k3": "c", "k4": ""}},
		"moved":       {moved, map[string]string{"k1": "b", "k2": "a", "k3": ""}},
		"many":        {withWorkspaces("3", many...), map[string]string{"key-0": "w0", "key-299": "w299", "second-7": "w7", "key-300": ""}},
		"empty list":  {withWorkspaces("4"), map[string]string{"": "", "k1": ""}},
		"bad digests": {&Configuration{RequiresKeys: true, Workspaces: []Workspace{{Name: "a", KeyDigests: [][]byte{nil, {1}}}}}, map[string]string{"k1": ""}},
	} {
		for key, want := range c.want {
			got := ""
			if w := c.configuration.WorkspaceOf(HashKey(key)); w != nil {
				got = w.Name
			}
			if got != want || !c.configuration.RequiresKeys {
				t.Errorf("%s: key %q selects %q, want %q", name, key, got, want)
			}
		}
	}
}

// Guards against replicas that derive other hashes from the same document, and against hashes that tell that two documents
// contain the same key.
func TestKeyDigestsFollowFromDocument(t *testing.T) {
	digest := func(document string) []byte {
		return withWorkspaces(document, DefinedWorkspace{Name: "a", Keys: []string{"k1"}}).Workspaces[0].KeyDigests[0]
	}
	if !bytes.Equal(digest("1"), digest("1")) || bytes.Equal(digest("1"), digest("2")) {
		t.Error("the hash of a key does not follow from the document")
	}
}
