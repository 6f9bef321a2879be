package upstream

import (
	"net/http"

	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/placement"
)

// Claim is what a complete response claims about the request to which it belongs.
type Claim struct {
	Status int
	// Signed is true when the response has the upstream's signature.
	Signed bool
	// NotRun is true when the response says that the request was not run.
	NotRun bool
}

// Outcome returns what a claim proves. Without a signature the response may be that
// of another machine at the upstream's address, and the upstream may have run the
// request: only a failure that promises nothing to the caller is delivered. A status
// that promises that the request was not run proves it only if the response says so as
// well, or if it is 421: then another upstream has the address.
func (c Claim) Outcome() placement.Outcome {
	switch {
	case c.Status == http.StatusMisdirectedRequest:
		return placement.NotRun{Reason: placement.ReasonMisdirected}
	case c.NotRun && c.Status >= http.StatusBadRequest && c.Status <= header.MaxStatus:
		return placement.NotRun{Reason: placement.ReasonShed, Sent: true}
	case c.NotRun, c.Status > header.MaxStatus, promisesNotRun(c.Status):
		return placement.Unknown{Reason: placement.ReasonMalformed}
	case !c.Signed && c.Status < http.StatusInternalServerError:
		return placement.Unknown{Reason: placement.ReasonMalformed}
	}
	return placement.Answered{Failed: c.Status >= http.StatusInternalServerError}
}

// promisesNotRun reports whether callers take a status other than 421 as a promise that
// the request was not run and will not be.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
