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

	"github.com/oriolepost/oriolepost/httplisten"
	"github.com/oriolepost/oriolepost/jsonform"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/service"
	"github.com/oriolepost/oriolepost/settings"
)

const (
	// maxDocument bounds a document in bytes.
	maxDocument = 256 << 10
	// leaderTimeout bounds one request to the leader.
	leaderTimeout = 5 * time.Second
	// confirmPause is the pause between two looks at what is in force.
	confirmPause = 25 * time.Millisecond
)

// Options are what the operators' side of an instance needs.
type Options struct {
	Address string
	Tokens  []settings.Token
	// Leader talks to the leader of the replicated log.
	Leader  *peer.Leader
	Metrics *metrics.Set
}

// Server answers operators.
type Server struct {
	options  Options
	listener *httplisten.Listener
}

// Listen starts to answer.
func Listen(o Options) (s *Server, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("listen for operators: %w", err)
		}
	}()
	s = &Server{options: o}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", s.handle(s.status))
	mux.HandleFunc("GET /v1/services", s.handle(s.documents))
	mux.HandleFunc("GET /v1/services/{name}", s.handle(s.document))
	mux.HandleFunc("PUT /v1/services/{name}", s.handle(s.putDocument))
	mux.HandleFunc("POST /v1/domains/{name}/{order}", s.handle(s.orderDomain))
	mux.HandleFunc("POST /v1/servers/{name}/{order}", s.handle(s.orderServer))
	s.listener, err = httplisten.Start(o.Address, &http.Server{Handler: mux, ReadHeaderTimeout: httplisten.HeaderTimeout, ReadTimeout: 2 * httplisten.HeaderTimeout, IdleTimeout: httplisten.IdleTimeout}, o.Metrics)
	return s, err
}

// Stop closes the listener.
func (s *Server) Stop(ctx context.Context) error {
	return s.listener.Stop(ctx)
}

// handlerFunc answers a request with an object, or with an error.
type handlerFunc func(r *http.Request, g grant) (any, error)

func (s *Server) handle(h handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g, err := authorize(s.options.Tokens, r)
		var body any
		if err == nil {
			body, err = h(r, g)
		}
		status := http.StatusOK
		if err != nil {
			e := asError(err)
			status, body = e.Status, e
		}
		s.options.Metrics.GetOrCreateCounter(fmt.Sprintf(`oriolepost_operator_requests_total{status="%d"}`, status)).Inc()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

// asError gives every error the form of the API.
func asError(err error) *Error {
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

func (s *Server) status(r *http.Request, _ grant) (any, error) {
	return s.fetchStatus(r.Context())
}

func (s *Server) documents(r *http.Request, _ grant) (any, error) {
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

func (s *Server) document(r *http.Request, _ grant) (any, error) {
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

func (s *Server) putDocument(r *http.Request, g grant) (any, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxDocument+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxDocument {
		return nil, &Error{Status: http.StatusRequestEntityTooLarge, Code: "malformed", Detail: "document is over 262144 bytes"}
	}
	name := r.PathValue("name")
	d := service.Defaults(name)
	if err := jsonform.DecodeStrict("document", data, &d); err != nil {
		return nil, err
	}
	if err := d.Check(); err != nil {
		return nil, err
	}
	if d.Name != name {
		return nil, &service.FieldError{Document: "document", Field: "name", Value: d.Name, Allowed: name + ", as in the path"}
	}
	if err := s.allowDocument(r.Context(), g, d); err != nil {
		return nil, err
	}
	return s.change(r, record.PutDocument{ChangeID: changeID(r), Document: d})
}

// allowDocument checks the team of the document in force and of the new one,
// so that no team can take over another's service.
func (s *Server) allowDocument(ctx context.Context, g grant, d service.Document) error {
	if g.all {
		return nil
	}
	status, err := s.fetchStatus(ctx)
	if err != nil {
		return err
	}
	current, exists := status.Catalog.Documents[d.Name]
	if d.Team != g.team || exists && current.Team != g.team {
		return &Error{
			Status: http.StatusForbidden, Code: "forbidden",
			Detail: fmt.Sprintf("team %q may not change service %q", g.team, d.Name),
		}
	}
	return nil
}

func (s *Server) orderDomain(r *http.Request, g grant) (any, error) {
	name, order := r.PathValue("name"), r.PathValue("order")
	if err := checkOrder(g, name, order, "out", "in"); err != nil {
		return nil, err
	}
	return s.change(r, record.SetDomain{ChangeID: changeID(r), Domain: name, Out: order == "out"})
}

func (s *Server) orderServer(r *http.Request, g grant) (any, error) {
	name, order := r.PathValue("name"), r.PathValue("order")
	if err := checkOrder(g, name, order, "drain", "undrain"); err != nil {
		return nil, err
	}
	return s.change(r, record.SetServer{ChangeID: changeID(r), Server: name, Drained: order == "drain"})
}

func checkOrder(g grant, name, order, on, off string) error {
	if !g.all {
		return &Error{Status: http.StatusForbidden, Code: "forbidden", Detail: `only the team "*" may give this order`}
	}
	if order != on && order != off {
		return &Error{Status: http.StatusNotFound, Code: "not_found", Detail: fmt.Sprintf("order %q, allowed: %s or %s", order, on, off)}
	}
	if !service.ValidName(name) {
		return &Error{Status: http.StatusBadRequest, Code: "malformed", Detail: fmt.Sprintf("name %q, allowed: %s", name, service.NameRule)}
	}
	return nil
}

func changeID(r *http.Request) string { return r.Header.Get(HeaderChangeID) }

// maxChangeID bounds a change id in bytes.
const maxChangeID = 128

// change commits a command and waits until it is in force.
func (s *Server) change(r *http.Request, c record.Command) (any, error) {
	began := time.Now()
	id := changeID(r)
	if id == "" || len(id) > maxChangeID {
		return nil, &Error{
			Status: http.StatusBadRequest, Code: "malformed",
			Detail: fmt.Sprintf("header %s has %d bytes, allowed: 1 to %d", HeaderChangeID, len(id), maxChangeID),
		}
	}
	wait, err := waitTime(r)
	if err != nil {
		return nil, err
	}
	done, err := s.commit(r.Context(), c)
	if err != nil {
		return nil, err
	}
	change := Change{ChangeID: id, Index: done.Index, Version: done.Version}
	change.InForce = s.awaitInForce(r.Context(), done.Index, wait)
	change.WaitedMS = time.Since(began).Milliseconds()
	return change, nil
}

func waitTime(r *http.Request) (time.Duration, error) {
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

func (s *Server) commit(ctx context.Context, c record.Command) (record.Done, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	response, err := s.options.Leader.Call(ctx, peer.ProposeRequest{Command: c})
	if err != nil {
		return record.Done{}, err
	}
	p, ok := response.(peer.ProposeResponse)
	if !ok {
		return record.Done{}, fmt.Errorf("propose: unexpected response %T", response)
	}
	switch r := p.Result.(type) {
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
	case record.Claimed, record.InProgress, record.Replay, record.KeyMismatch, record.LedgerFull:
	}
	return record.Done{}, fmt.Errorf("propose: unexpected result %T", p.Result)
}

// awaitInForce asks the leader until the change is in force.
func (s *Server) awaitInForce(ctx context.Context, index uint64, wait time.Duration) bool {
	if wait == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(confirmPause)
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
