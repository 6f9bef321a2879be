package ingress

import (
	"net/http"

	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/workspace"
)

// admit finds the workspace for which a request runs, and reports whether it may run. If
// not, the request is refused.
func (c *conn) admit(exchange *Exchange, directory *workspace.Directory, trust workspace.Trust) bool {
	names, request := c.server.options.Names, exchange.Request
	switch a := directory.Admit(names.ParseCredential(request.Header), exchange.Route.Public, trust).(type) {
	case workspace.Admitted:
		exchange.Workspace = a.Workspace
		// A caller could list the name of the workspace's header in Connection, so that it
		// would be removed later.
		header.RemoveHopByHop(request.Header)
		names.SetWorkspace(request.Header, a.Workspace)
		return true
	case workspace.UnknownKey:
		c.refuse(exchange, http.StatusUnauthorized, "the key is not known")
	case workspace.Unconfirmed:
		c.refuse(exchange, http.StatusServiceUnavailable, "the key is not in a configuration that may be outdated")
	case workspace.Expired:
		c.refuse(exchange, http.StatusServiceUnavailable, "the keys are too old to rely on")
	}
	return false
}
