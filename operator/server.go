package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolepost/oriolepost/budget"
	"github.com/oriolepost/oriolepost/httplisten"
	"github.com/oriolepost/oriolepost/jsonform"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/service"
	"github.com/oriolepost/oriolepost/settings"
)

const (
	// maxDocumentBytes limits the size of a document.
	maxDocumentBytes = 256 << 10
	// leaderTimeout limits a request to the leader, including its retries.
	leaderTimeout = 5 * time.Second
	// confirmInterval is the interval at which the leader is asked whether a
	// change is in force.
	confirmInterval = 25 * time.Millisecond
)

// Options are the settings and dependencies of a Server.
type Options struct {
	Address string
	Tokens  []settings.Token
	// Leader sends requests to the leader of the replicated log.
	Leader  *peer.LeaderClient
	Metrics *metrics.Set
	// Limits limit the connections and what is buffered of documents.
	Limits httplisten.Limits
}

// Server serves the administration API.
type Server struct {
	options  Options
	listener *httplisten.Listener
}

// Listen starts a server at the address of the options.
func Listen(options Options) (s *Server, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("listen for operators: %w", err)
		}
	}()
	s = &Server{options: options}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", s.handle(s.status))
	mux.HandleFunc("GET /v1/services", s.handle(s.documents))
	mux.HandleFunc("GET /v1/services/{name}", s.handle(s.document))
	mux.HandleFunc("PUT /v1/services/{name}", s.handle(s.putDocument))
	mux.HandleFunc("POST /v1/domains/{name}/{order}", s.handle(s.orderDomain))
	mux.HandleFunc("POST /v1/servers/{name}/{order}", s.handle(s.orderServer))
	s.listener, err = httplisten.StartLimited(options.Address, &http.Server{Handler: mux, ReadHeaderTimeout: httplisten.HeaderTimeout, ReadTimeout: 2 * httplisten.HeaderTimeout, IdleTimeout: httplisten.IdleTimeout}, options.Metrics, options.Limits)
	return s, err
}

// Stop shuts the server down gracefully. Requests that are not complete when the
// context ends are aborted.
func (s *Server) Stop(ctx context.Context) error {
	return s.listener.Stop(ctx)
}

// handlerFunc returns the object that is sent as the response, or an error.
type handlerFunc func(r *http.Request, granted permission) (any, error)

func (s *Server) handle(handler handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		granted, err := authorize(s.options.Tokens, r)
		var body any
		if err == nil {
			body, err = handler(r, granted)
		}
		status := http.StatusOK
		if err != nil {
			e := apiError(err)
			status, body = e.Status, e
		}
		s.options.Metrics.GetOrCreateCounter(fmt.Sprintf(`oriolepost_operator_requests_total{status="%d"}`, status)).Inc()
		w.Header().Set("Content-Type", "application/json")
		if s.options.Limits.MaxConns > 0 {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(httplisten.WriteTimeout))
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

// apiError converts an error into an error response of the API. An error without
// a code of its own becomes "malformed" if it is about a document, and
// "unavailable" otherwise.
func apiError(err error) *Error {
	var e *Error
	var field *service.FieldError
	var syntax *jsonform.SyntaxError
	switch {
	case errors.As(err, &e):
		return e
	case errors.As(err, &field), errors.As(err, &syntax):
		return &Error{Status: http.StatusBadRequest, Code: "malformed", Detail: err.Error()}
	}
	return &Error{Status: http.StatusServiceUnavailable, Code: "unavailable", Detail: err.Error()}
}

func (s *Server) fetchStatus(ctx context.Context) (peer.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	response, err := s.options.Leader.Call(ctx, peer.StatusRequest{})
	if err != nil {
		return peer.StatusResponse{}, err
	}
	r, ok := response.(peer.StatusResponse)
	if !ok {
		return peer.StatusResponse{}, fmt.Errorf("status: unexpected response %T", response)
	}
	return r, nil
}

func (s *Server) status(r *http.Request, _ permission) (any, error) {
	return s.fetchStatus(r.Context())
}

func (s *Server) documents(r *http.Request, _ permission) (any, error) {
	status, err := s.fetchStatus(r.Context())
	if err != nil {
		return nil, err
	}
	d := Documents{Services: []service.Document{}}
	for _, name := range slices.Sorted(maps.Keys(status.Catalog.Documents)) {
		d.Services = append(d.Services, status.Catalog.Documents[name])
	}
	return d, nil
}

func (s *Server) document(r *http.Request, _ permission) (any, error) {
	status, err := s.fetchStatus(r.Context())
	if err != nil {
		return nil, err
	}
	d, ok := status.Catalog.Documents[r.PathValue("name")]
	if !ok {
		return nil, notFound("service", r.PathValue("name"))
	}
	return d, nil
}

func notFound(kind, name string) error {
	return &Error{Status: http.StatusNotFound, Code: "not_found", Detail: fmt.Sprintf("%s %q does not exist", kind, name)}
}

func (s *Server) putDocument(r *http.Request, granted permission) (any, error) {
	hold := s.options.Limits.Budget.Hold(nil)
	defer hold.Release()
	data, err := budget.ReadAll(io.LimitReader(r.Body, maxDocumentBytes+1), hold, maxDocumentBytes+1)
	if err != nil {
		return nil, err
	}
	if len(data) > maxDocumentBytes {
		return nil, &Error{Status: http.StatusRequestEntityTooLarge, Code: "malformed", Detail: "document is over 262144 bytes"}
	}
	name := r.PathValue("name")
	document := service.Defaults(name)
	if err := jsonform.DecodeStrict("document", data, &document); err != nil {
		return nil, err
	}
	if err := document.Check(); err != nil {
		return nil, err
	}
	if document.Name != name {
		return nil, &service.FieldError{Document: "document", Field: "name", Value: document.Name, Allowed: name + ", as in the path"}
	}
	if err := s.allowDocument(r.Context(), granted, document); err != nil {
		return nil, err
	}
	return s.change(r, record.PutDocument{ChangeID: changeID(r), Document: document})
}

// allowDocument checks the team of the current document and of the new one, so
// that no team can take over another team's service.
func (s *Server) allowDocument(ctx context.Context, granted permission, document service.Document) error {
	if granted.unrestricted {
		return nil
	}
	status, err := s.fetchStatus(ctx)
	if err != nil {
		return err
	}
	current, exists := status.Catalog.Documents[document.Name]
	if document.Team != granted.team || exists && current.Team != granted.team {
		return &Error{
			Status: http.StatusForbidden, Code: "forbidden",
			Detail: fmt.Sprintf("team %q may not change service %q", granted.team, document.Name),
		}
	}
	return nil
}

func (s *Server) orderDomain(r *http.Request, granted permission) (any, error) {
	name, order := r.PathValue("name"), r.PathValue("order")
	if err := checkOrder(granted, name, order, "out", "in"); err != nil {
		return nil, err
	}
	return s.change(r, record.SetDomain{ChangeID: changeID(r), Domain: name, Out: order == "out"})
}

func (s *Server) orderServer(r *http.Request, granted permission) (any, error) {
	name, order := r.PathValue("name"), r.PathValue("order")
	if err := checkOrder(granted, name, order, "drain", "undrain"); err != nil {
		return nil, err
	}
	return s.change(r, record.SetServer{ChangeID: changeID(r), Server: name, Drained: order == "drain"})
}

// checkOrder checks the permission, the order and the name. The order must be
// apply or its opposite, revert.
func checkOrder(granted permission, name, order, apply, revert string) error {
	if !granted.unrestricted {
		return &Error{Status: http.StatusForbidden, Code: "forbidden", Detail: `only the team "*" may give this order`}
	}
	if order != apply && order != revert {
		return &Error{Status: http.StatusNotFound, Code: "not_found", Detail: fmt.Sprintf("order %q, allowed: %s or %s", order, apply, revert)}
	}
	if !service.ValidName(name) {
		return &Error{Status: http.StatusBadRequest, Code: "malformed", Detail: fmt.Sprintf("name %q, allowed: %s", name, service.NameRule)}
	}
	return nil
}

func changeID(r *http.Request) string { return r.Header.Get(HeaderChangeID) }

// maxChangeIDBytes limits the length of a change id.
const maxChangeIDBytes = 128

// change commits a command and waits until it is in force or the time limit of
// the request has passed.
func (s *Server) change(r *http.Request, command record.Command) (any, error) {
	start := time.Now()
	id := changeID(r)
	if id == "" || len(id) > maxChangeIDBytes {
		return nil, &Error{
			Status: http.StatusBadRequest, Code: "malformed",
			Detail: fmt.Sprintf("header %s has %d bytes, allowed: 1 to %d", HeaderChangeID, len(id), maxChangeIDBytes),
		}
	}
	wait, err := waitTimeout(r)
	if err != nil {
		return nil, err
	}
	done, err := s.commit(r.Context(), command)
	if err != nil {
		return nil, err
	}
	change := Change{ChangeID: id, Index: done.Index, Version: done.Version}
	change.InForce = s.awaitInForce(r.Context(), done.Index, wait)
	change.WaitedMS = time.Since(start).Milliseconds()
	return change, nil
}

// waitTimeout returns the request's limit for the wait until a change is in
// force.
func waitTimeout(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait_ms")
	if text == "" {
		return settings.Milliseconds(DefaultWaitMS), nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > maxWaitMS {
		return 0, &Error{Status: http.StatusBadRequest, Code: "malformed", Detail: fmt.Sprintf("wait_ms is %q, allowed: 0 to %d", text, maxWaitMS)}
	}
	return settings.Milliseconds(n), nil
}

func (s *Server) commit(ctx context.Context, command record.Command) (record.Done, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	response, err := s.options.Leader.Call(ctx, peer.ProposeRequest{Command: command})
	if err != nil {
		return record.Done{}, err
	}
	proposed, ok := response.(peer.ProposeResponse)
	if !ok {
		return record.Done{}, fmt.Errorf("propose: unexpected response %T", response)
	}
	switch r := proposed.Result.(type) {
	case record.Done:
		return r, nil
	case record.VersionConflict:
		return record.Done{}, &Error{
			Status: http.StatusConflict, Code: "version_conflict", Current: r.Current,
			Detail: fmt.Sprintf("the document in force has version %d", r.Current),
		}
	case record.HostConflict:
		return record.Done{}, &Error{
			Status: http.StatusConflict, Code: "host_conflict",
			Detail: fmt.Sprintf("host %q belongs to service %q", r.Host, r.Service),
		}
	case record.Overtaken, record.Claimed, record.InProgress, record.Replay, record.KeyMismatch, record.LedgerFull, record.RolloutConflict, record.UnknownService:
	}
	return record.Done{}, fmt.Errorf("propose: unexpected result %T", proposed.Result)
}

// awaitInForce asks the leader at intervals until the change is in force, and
// reports whether it was within the timeout.
func (s *Server) awaitInForce(ctx context.Context, index uint64, wait time.Duration) bool {
	if wait == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		response, err := s.options.Leader.Call(ctx, peer.ConfirmRequest{Index: index})
		if c, ok := response.(peer.ConfirmResponse); ok && err == nil && c.InForce {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}
