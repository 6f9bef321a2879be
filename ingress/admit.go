package ingress

import (
	"net/http"
	"time"

	"github.com/oriolepost/oriolepost/admission"
)

const (
	// connAllowance is what the unanswered requests of a connection and their
	// responses may take without a reservation. Requests with a header and a body of a
	// few KB stay below it.
	connAllowance = 16 << 10
	// headAllowance is how much of a header is read before the largest header is
	// reserved.
	headAllowance = 4 << 10
	// responseAllowance is the part of the allowance for a response.
	responseAllowance = 4 << 10
	// headFactor is the memory of a parsed header relative to its size, besides its fields:
	// the lines as sent and as text.
	headFactor = 2
	// pipelinedDescriptors are those of a pipelined request: an attempt and a hedge.
	pipelinedDescriptors = 2
	// maxEvictedConns is how many connections that are being closed may be open beyond
	// the cap. It is within the descriptors that package admission keeps free.
	maxEvictedConns = 24
)

// errUsedUp refuses a request that would exceed the budget. It was not run.
var errUsedUp = &StatusError{http.StatusServiceUnavailable, "too much is being received at present"}

// reserve adds to the hold of the request that is being read, and reports whether that
// was granted.
func (c *conn) reserve(bytes int64, descriptors int) bool {
	if c.hold == nil {
		c.hold = c.server.options.Budget.Hold(c.source.evict)
	}
	return c.hold.Reserve(bytes, descriptors, true)
}

// admitHead reserves a header that is longer than the allowance.
func (c *conn) admitHead() error {
	reserved := headFactor * c.limits().HeaderBytes
	if !c.reserve(int64(reserved), 0) {
		return errUsedUp
	}
	c.headReserved = reserved
	return nil
}

// memory returns what the header takes once it is parsed. A header of short fields takes many
// times its size.
func (h *requestHead) memory() int { return headFactor*len(h.bytes) + admission.FieldBytes*h.fields }

// admitFields reserves what a header takes beyond the allowance and what was reserved while it
// was read, before it is parsed.
func (c *conn) admitFields(head requestHead) error {
	if c.server.options.Budget == nil {
		return nil
	}
	cost := head.memory()
	if cost+responseAllowance <= connAllowance || cost <= c.headReserved {
		return nil
	}
	if !c.reserve(int64(cost-c.headReserved), 0) {
		return errUsedUp
	}
	c.headReserved = cost
	return nil
}

// admitRequest reserves what a request takes beyond the allowance, once its header has
// been read. A pipelined request needs a reservation in any case, since it may run
// beside the others; without one it waits until those are answered.
func (c *conn) admitRequest(r *Request, head requestHead) error {
	r.conn = c
	if c.server.options.Budget == nil || len(c.unanswered()) == 0 {
		return nil
	}
	if cost := head.memory() + responseAllowance - c.headReserved; !c.reserve(int64(max(0, cost)), pipelinedDescriptors) {
		return c.awaitResponses()
	}
	return nil
}

// growBody reserves bytes of a body. If that is refused, it tries once more when the
// earlier requests of the connection are answered.
func (r *Request) growBody(bytes int64) error {
	c := r.conn
	if c == nil || c.reserve(bytes, 0) {
		return nil
	}
	if len(c.unanswered()) == 0 {
		return errUsedUp
	}
	if err := c.awaitResponses(); err != nil {
		return err
	}
	if !c.reserve(bytes, 0) {
		return errUsedUp
	}
	return c.source.setDeadline(time.Now().Add(r.bodyTimeout))
}

// beginReading, endReading and endServing keep what the connection is doing, for the
// task that closes connections beyond the cap.
func (c *conn) beginReading(now time.Time) {
	if c != nil {
		c.readingSince.Store(now.UnixNano())
	}
}

func (c *conn) endReading() {
	if c != nil {
		c.readingSince.Store(0)
	}
}

func (c *conn) endServing(now time.Time) {
	c.idleFrom.Store(now.UnixNano())
	c.serving.Add(-1)
}

// activity returns what the connection is doing.
func (c *conn) activity(index int) admission.Conn {
	if since := c.readingSince.Load(); since != 0 {
		return admission.Conn{Index: index, Activity: admission.Reading, Since: time.Unix(0, since)}
	}
	if c.serving.Load() > 0 {
		return admission.Conn{Index: index, Activity: admission.Serving}
	}
	return admission.Conn{Index: index, Activity: admission.Idle, Since: time.Unix(0, c.idleFrom.Load())}
}

// release ends the reservations of an exchange.
func (e *Exchange) release() { e.hold.Release() }

// discard waits for the response to an exchange that can't be written, and releases
// what it holds.
func (e *Exchange) discard() {
	response := <-e.Response
	response.Hold.Release()
	if response.Rest != nil {
		_ = response.Rest.Close()
	}
	e.release()
}

// limitConns closes connections beyond the cap: it asks idle ones and those whose
// requests do not arrive to close, and closes the newest when too many of those are
// still open.
func (s *Server) limitConns(conns map[*conn]bool, newest *conn) {
	limit := s.options.MaxConns
	if limit == 0 || len(conns) <= limit {
		return
	}
	open := make([]*conn, 0, len(conns))
	for c := range conns {
		if !c.source.evicted.Load() {
			open = append(open, c)
		}
	}
	if len(open) <= limit && len(conns) <= limit+maxEvictedConns {
		return
	}
	s.options.Metrics.GetOrCreateCounter("oriolepost_caller_connections_evicted_total").Inc()
	if len(conns) > limit+maxEvictedConns {
		newest.source.evicted.Store(true)
		_ = newest.Close()
		return
	}
	activities := make([]admission.Conn, 0, len(open))
	for i, c := range open {
		activities = append(activities, c.activity(i))
	}
	victims := admission.Victims(time.Now(), activities, len(open)-limit)
	for _, v := range victims {
		open[v.Index].source.evict()
	}
	if len(victims) == 0 {
		newest.source.evicted.Store(true)
		_ = newest.Close()
	}
}
