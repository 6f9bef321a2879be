// Package operator is the administration API, for its server and its client.
//
//	GET  /v1/status                 the state of the system
//	GET  /v1/services               all service documents
//	GET  /v1/services/{name}        one document
//	PUT  /v1/services/{name}        replaces the document of the stated version
//	POST /v1/domains/{name}/out     takes a failure domain out
//	POST /v1/domains/{name}/in      takes it back in
//	POST /v1/servers/{name}/drain   drains a server
//	POST /v1/servers/{name}/undrain takes it back
//
// A change carries a change id in the header Oriolepost-Change-Id, which makes
// a resend safe, also through another instance. It is answered when it is in
// force everywhere, or at once with ?wait_ms=0. A bearer token allows a team to
// change its own services; the team "*" may change everything. Without tokens
// in the settings only loopback clients are served.
//
// # Usage
//
//	c := operator.Client{Address: "127.0.0.1:9000", Token: token}
//	change, err := c.Apply(ctx, document, operator.ChangeOptions{ChangeID: "42"})
package operator

import (
	"fmt"

	"github.com/oriolepost/oriolepost/service"
)

const (
	// HeaderChangeID names a change, so that a resend gets the first answer.
	HeaderChangeID = "Oriolepost-Change-Id"
	// DefaultWaitMS is how long a change is waited for: a lease and some room.
	DefaultWaitMS = 5000
	// maxWaitMS bounds the wait.
	maxWaitMS = 60000
)

// Change is the answer to a change.
type Change struct {
	ChangeID string `json:"change_id"`
	// Index is the log index of the change.
	Index uint64 `json:"index"`
	// Version is the document's version after the change.
	Version uint64 `json:"version,omitempty"`
	// InForce is true when every instance that may send calls follows it.
	InForce bool `json:"in_force"`
	// WaitedMS is how long it took to be in force.
	WaitedMS int64 `json:"waited_ms"`
}

// Documents lists the service documents.
type Documents struct {
	Services []service.Document `json:"services"`
}

// Error is an error of the administration API.
type Error struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// Code is a short name: malformed, unauthorized, forbidden, not_found,
	// version_conflict, host_conflict or unavailable.
	Code string `json:"code"`
	// Detail says what is wrong and what is allowed.
	Detail string `json:"detail"`
	// Current is the version in force after a version conflict.
	Current uint64 `json:"current_version,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Detail) }
