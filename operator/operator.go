// Package operator implements the administration API: its HTTP server and its
// client.
//
//	GET  /v1/status                 the state of the system
//	GET  /v1/services               all service documents
//	GET  /v1/services/{name}        one document
//	PUT  /v1/services/{name}        replaces the document of the stated version
//	POST /v1/domains/{name}/out     takes a failure domain out of service
//	POST /v1/domains/{name}/in      takes it back into service
//	POST /v1/servers/{name}/drain   drains a server
//	POST /v1/servers/{name}/undrain ends the draining
//
// A change carries a change id in the header Oriolepost-Change-Id, which makes
// it safe to send the change again, also through another instance. The response
// comes when the change is in force everywhere or when wait_ms has passed, and
// says which. With ?wait_ms=0 it comes as soon as the change is committed. A
// bearer token allows a team to change its own services; the team "*" may change
// everything. Without tokens in the settings only loopback clients are served.
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
	// HeaderChangeID identifies a change, so that a change sent again gets the
	// result of the first one.
	HeaderChangeID = "Oriolepost-Change-Id"
	// DefaultWaitMS is the default limit, in milliseconds, of the wait until a
	// change is in force: the lifetime of a lease plus a margin.
	DefaultWaitMS = 5000
	// maxWaitMS is the longest wait that a request may ask for, in milliseconds.
	maxWaitMS = 60000
)

// Change is the result of a change.
type Change struct {
	ChangeID string `json:"change_id"`
	// Index is the log index of the change.
	Index uint64 `json:"index"`
	// Version is the document's version after the change.
	Version uint64 `json:"version,omitempty"`
	// InForce is true when every instance that may send calls follows the
	// change. It is false when that was not confirmed within the wait.
	InForce bool `json:"in_force"`
	// WaitedMS is the time, in milliseconds, that the request took until the
	// change was in force or the wait ended.
	WaitedMS int64 `json:"waited_ms"`
}

// Documents lists the service documents, sorted by name.
type Documents struct {
	Services []service.Document `json:"services"`
}

// Error is an error response of the administration API.
type Error struct {
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Code is one of malformed, unauthorized, forbidden, not_found,
	// version_conflict, host_conflict or unavailable.
	Code string `json:"code"`
	// Detail explains the error and what is allowed.
	Detail string `json:"detail"`
	// Current is the version of the current document, after a version conflict.
	Current uint64 `json:"current_version,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Detail) }
