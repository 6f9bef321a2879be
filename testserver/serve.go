package testserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/oriolepost/oriolepost/membership"
	"github.com/oriolepost/oriolepost/server"
)

const (
	// HeaderCallID carries the load generator's ID of a call. The response
	// repeats it.
	HeaderCallID = "Oriolepost-Load-Call"
	// HeaderRunID carries an ID of the run. A replayed response can be recognized
	// by it: it repeats the ID of the first run.
	HeaderRunID = "Oriolepost-Load-Run"
	// maxBodyBytes is the number of bytes of a request body that are read. The
	// rest of a longer body is ignored.
	maxBodyBytes = 8 << 20
	// announceTimeout is the timeout of one announcement.
	announceTimeout = 500 * time.Millisecond
)

// serveCall runs one call. The response body is the request body.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	decision, ok := s.requestAdmission(r)
	switch {
	case !ok || decision.closeConn:
		closeConnection(w)
		return
	case decision.shed:
		w.Header().Set(server.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	began := time.Now()
	finished := s.simulateService(r.Context(), decision)
	s.send(endRun{bootCount: decision.bootCount, busy: time.Since(began)})
	if finished {
		s.respond(w, r, decision, body)
	}
}

func (s *Server) requestAdmission(r *http.Request) (admission, bool) {
	reply := make(chan admission, 1)
	domain := r.Header.Get(server.HeaderDomain)
	run := Run{Call: r.Header.Get(HeaderCallID), Key: r.Header.Get("Idempotency-Key"), Method: r.Method}
	ok := s.send(beginRun{run: run, otherDomain: domain != "" && domain != s.Config.Domain, reply: reply})
	if !ok {
		return admission{}, false
	}
	select {
	case decision := <-reply:
		return decision, true
	case <-s.done:
		return admission{}, false
	}
}

// simulateService waits for the service time and reports whether it has passed.
// It returns false as soon as the client closes the connection, for example
// because the call was canceled or its deadline has passed. Under [FailFast] it
// does not wait.
func (s *Server) simulateService(ctx context.Context, decision admission) bool {
	if _, fails := decision.fault.(FailFast); fails {
		return true
	}
	t := time.NewTimer(decision.duration)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, decision admission, body []byte) {
	switch f := decision.fault.(type) {
	case FailFast:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case Reset:
		closeConnection(w)
		return
	case TruncateResponse:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
		_, _ = w.Write(body)
		_ = http.NewResponseController(w).Flush()
		closeConnection(w)
		return
	case DelayResponse:
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
			return
		}
	case Healthy, Straggle, ReportZeroLoad, TurnCold, Reboot, Drain, ShedAll:
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set(HeaderCallID, r.Header.Get(HeaderCallID))
	w.Header().Set(HeaderRunID, fmt.Sprintf("%s-%d", s.Config.Name, time.Now().UnixNano()))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func closeConnection(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = c.Close()
	}
}

// serveProbe waits for probeServiceTime and responds with the load as it was
// StaleMS before the probe arrived.
func (s *Server) serveProbe(w http.ResponseWriter, r *http.Request) {
	reply := make(chan int, 1)
	if !s.send(beginProbe{reply: reply}) {
		return
	}
	select {
	case <-time.After(probeServiceTime):
	case <-r.Context().Done():
		return
	}
	writeJSON(w, struct {
		Load int `json:"load"`
	}{<-reply})
}

func (s *Server) serveReport(w http.ResponseWriter, _ *http.Request) {
	r := s.Report()
	r.Records = nil
	writeJSON(w, r)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// FaultRequest is the JSON form of a fault.
type FaultRequest struct {
	// Fault is healthy, straggle, fail_fast, reset, cut, late, lie, chill,
	// reboot, drain or shed_all.
	Fault   string  `json:"fault"`
	Factor  float64 `json:"factor,omitempty"`
	DelayMS int64   `json:"delay_ms,omitempty"`
}

// Parse returns the fault that the request names.
func (f FaultRequest) Parse() (Fault, error) {
	switch f.Fault {
	case "healthy":
		return Healthy{}, nil
	case "straggle":
		return Straggle{Factor: f.Factor}, nil
	case "fail_fast":
		return FailFast{}, nil
	case "reset":
		return Reset{}, nil
	case "cut":
		return TruncateResponse{}, nil
	case "late":
		return DelayResponse{Delay: time.Duration(f.DelayMS) * time.Millisecond}, nil
	case "lie":
		return ReportZeroLoad{}, nil
	case "chill":
		return TurnCold{}, nil
	case "reboot":
		return Reboot{}, nil
	case "drain":
		return Drain{}, nil
	case "shed_all":
		return ShedAll{}, nil
	}
	return nil, fmt.Errorf("fault %q is not known", f.Fault)
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var request FaultRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault, err := request.Parse()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// A reboot closes this connection too, so the response is sent first.
	writeJSON(w, request)
	_ = http.NewResponseController(w).Flush()
	s.SetFault(fault)
}

// runAnnouncements announces the server at a fixed interval, each time to the
// next platform address, because the platform's balancer spreads announcements
// over the instances.
func (s *Server) runAnnouncements(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(s.Config.AnnounceMS) * time.Millisecond)
	defer ticker.Stop()
	for i := 0; ; i++ {
		if err := s.announce(ctx, i); err != nil {
			// Another instance may accept the announcement.
			_ = s.announce(ctx, i+1)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) announce(ctx context.Context, turn int) error {
	if len(s.Config.Platforms) == 0 {
		return errNoPlatform
	}
	reply := make(chan membership.Announcement, 1)
	if !s.send(getAnnouncement{reply: reply}) {
		return context.Canceled
	}
	announcement := <-reply
	if announcement.BootID == "" {
		// The server is down after a crash.
		return nil
	}
	data, err := json.Marshal(announcement)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	url := "http://" + s.Config.Platforms[turn%len(s.Config.Platforms)] + "/v1/announce"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("announce: status is %d, allowed: 200", response.StatusCode)
	}
	return nil
}
