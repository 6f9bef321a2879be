// Package workspace decides for which workspace a request runs, by the key that the
// caller sends with it.
//
// A configuration may list workspaces, the owners of keys. Where it does, a request
// needs a key of one of them, unless its route is public. Keys are known by their
// digests only. A [Directory] is the compiled list, in which an entry looks up the key
// of a request. A [Lease] limits for how long an entry may rely on a directory, so that a
// revoked key is refused in time also by entries that are out of contact. The package
// is part of the core.
//
// # Usage
//
//	directory := workspace.NewDirectory(configuration.Workspaces)
//	switch a := directory.Admit(credential, route.Public, trust).(type) { ... }
package workspace

import (
	"fmt"
	"math"

	"github.com/oriolepost/oriolepost/service"
)

// Digest is the digest of a key, as text.
type Digest string

// Workspace is an owner of keys.
type Workspace struct {
	Name string `json:"name"`
	// Keys are the digests of the workspace's keys. A workspace may have none.
	Keys []Digest `json:"keys,omitempty"`
	// Priority takes the place of the priority of a request's route. Without one, the
	// route's priority counts.
	Priority *int `json:"priority,omitempty"`
	// Rate and Burst are the quota of all entries together, in requests a second and in
	// requests. A rate of zero means that there is no quota.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// Check returns a [service.FieldError] for the first invalid field of a list of
// workspaces, or nil. A key may belong to one workspace only.
func Check(list []Workspace) error {
	names := map[string]bool{}
	owners := map[Digest]int{}
	for i, w := range list {
		field := fmt.Sprintf("workspaces[%d]", i)
		switch {
		case w.Name == "" || names[w.Name]:
			return fieldError(field+".name", fmt.Sprintf("%q", w.Name), "a name that is not empty and that no other workspace has")
		case !isQuantity(w.Rate):
			return fieldError(field+".rate", w.Rate, "a number of 0 or more")
		case !isQuantity(w.Burst):
			return fieldError(field+".burst", w.Burst, "a number of 0 or more")
		case w.Priority != nil && *w.Priority < 0:
			return fieldError(field+".priority", *w.Priority, "0 or more")
		}
		names[w.Name] = true
		for j, key := range w.Keys {
			if other, taken := owners[key]; taken && other != i {
				return fieldError(fmt.Sprintf("%s.keys[%d]", field, j), "a key of "+fmt.Sprintf("workspaces[%d]", other), "a key that no other workspace has")
			}
			owners[key] = i
		}
	}
	return nil
}

// isQuantity reports whether a number is finite and not negative.
func isQuantity(n float64) bool { return n >= 0 && !math.IsInf(n, 1) }

func fieldError(field string, value any, allowed string) error {
	return &service.FieldError{Document: "configuration", Field: field, Value: value, Allowed: allowed}
}

// Directory holds the workspaces of a configuration by key.
type Directory struct {
	byKey map[Digest]*Workspace
}

// NewDirectory compiles a list that has passed [Check].
func NewDirectory(list []Workspace) *Directory {
	d := &Directory{byKey: map[Digest]*Workspace{}}
	for i := range list {
		for _, key := range list[i].Keys {
			d.byKey[key] = &list[i]
		}
	}
	return d
}

// Trust is what an entry knows of its directory at the moment.
type Trust struct {
	// Newest is true when the directory is confirmed to be the newest one.
	Newest bool
	// Valid is true while no key of the directory can have been revoked for longer than
	// is allowed; see [Lease].
	Valid bool
}

// Admission is the decision on a request.
//
//sumtype:decl
type Admission interface{ admission() }

// Admitted means that the request may run, for a workspace. On a public route, Workspace
// is nil if the request has no key that is known.
type Admitted struct{ Workspace *Workspace }

// UnknownKey means that no workspace has the key of the request, or that it has none.
type UnknownKey struct{}

// Unconfirmed means that no workspace has the key of the request, but a newer
// configuration may have added it.
type Unconfirmed struct{}

// Expired means that the directory may not be relied on: the key may have been revoked
// too long ago.
type Expired struct{}

func (Admitted) admission()    {}
func (UnknownKey) admission()  {}
func (Unconfirmed) admission() {}
func (Expired) admission()     {}

// Admit decides on a request with the digest of its key; empty if it has none.
//
// A caller gives up when the answer is that its key is not known, whereas one whose request has
// not been run asks another instance. Only the newest directory may therefore decide that
// a key is not known. A missing key is never known, and needs no directory.
func (d *Directory) Admit(key Digest, public bool, trust Trust) Admission {
	owner := d.byKey[key]
	switch {
	case public && (owner == nil || !trust.Valid):
		return Admitted{}
	case !trust.Valid:
		return Expired{}
	case owner != nil:
		return Admitted{Workspace: owner}
	case trust.Newest:
		return UnknownKey{}
	}
	return Unconfirmed{}
}
