package ingress

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/workspace"
)

// dispatch sends a request to the entry task, or refuses it if no route for it is
// known. A request that must not run twice first waits until the requests before it are
// answered. It is dropped, with the error of the connection, if the caller disconnects before.
func (c *conn) dispatch(request *Request) (*Exchange, error) {
	exchange := newExchange(request, nil)
	exchange.hold, c.hold = c.hold, nil
	exchange.closeAfter = c.isLast(request)
	if err := c.awaitConfiguration(request); err != nil {
		exchange.release()
		return nil, err
	}
	// The table is looked up only now, so that a request that took long to read
	// is routed by the newest one.
	// What is known of the table is asked before: what is confirmed later may be a newer
	// table.
	trust := workspace.Trust{Newest: c.server.options.TableConfirmed(), Valid: c.server.options.KeysValid()}
	table := c.server.options.Table()
	switch l := table.Lookup(request.Host, request.Path, trust.Newest).(type) {
	case route.Unconfigured:
		c.refuse(exchange, http.StatusServiceUnavailable, "no configuration yet")
		return exchange, nil
	case route.Unconfirmed:
		c.refuse(exchange, http.StatusServiceUnavailable, "no route for this host and path in a configuration that may be outdated")
		return exchange, nil
	case route.Absent:
		c.refuse(exchange, http.StatusNotFound, "no route for this host and path")
		return exchange, nil
	case route.Found:
		exchange.Route = l.Route
	}
	if table.Workspaces != nil && !c.admit(exchange, table.Workspaces, trust) {
		return exchange, nil
	}
	if !exchange.Route.Idempotent {
		if err := c.awaitResponses(); err != nil {
			exchange.release()
			return nil, err
		}
	}
	// The drain may have begun during the wait.
	exchange.closeAfter = c.isLast(request)
	header.RemoveHopByHop(request.Header)
	c.server.options.Callbacks.Arrived(exchange)
	return exchange, nil
}

// isLast reports whether no request after this one is read: the caller asked for a
// close, or the entry drains and no further request has begun to arrive.
func (c *conn) isLast(request *Request) bool {
	return request.close || request.http10 || c.source.evicted.Load() || c.server.draining.Load() && c.reader.Buffered() == 0
}

// refuse answers a request that cannot be dispatched.
func (c *conn) refuse(e *Exchange, status int, reason string) {
	c.server.options.Callbacks.Refused(e.Request, status, reason)
	retryAfter := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		spread := time.Duration(rand.Int64N(int64(configurationDelay)))
		remaining := max(0, e.Request.CallerTimeout-time.Since(e.Request.Received))
		retryAfter = min(configurationDelay/2+spread, remaining/retryAfterDivisor)
	}
	e.Response <- Refusal(status, reason, retryAfter)
}
