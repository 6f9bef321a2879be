package standin

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
	// HeaderCall is the load tool's own identity of a call.
	HeaderCall = "Oriolepost-Load-Call"
	// HeaderRun counts the runs of a server, so that a replay can be told.
	HeaderRun = "Oriolepost-Load-Run"
	// maxBody bounds a call's body in bytes.
	maxBody = 8 << 20
	// announceTimeout bounds one announcement.
	announceTimeout = 500 * time.Millisecond
)

// serveCall runs one call: the answer is the call's own body.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	p, ok := s.begin(r)
	switch {
	case !ok || p.refuse:
		closeConnection(w)
		return
	case p.shed:
		w.Header().Set(server.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	began := time.Now()
	finished := s.work(r.Context(), p)
	s.post(endRun{boot: p.boot, busy: time.Since(began)})
	if finished {
		s.answer(w, r, p, body)
	}
}

func (s *Server) begin(r *http.Request) (permit, bool) {
	answer := make(chan permit, 1)
	domain := r.Header.Get(server.HeaderDomain)
	run := Run{Call: r.Header.Get(HeaderCall), Key: r.Header.Get("Idempotency-Key"), Method: r.Method}
	ok := s.post(beginRun{run: run, remote: domain != "" && domain != s.Config.Domain, answer: answer})
	if !ok {
		return permit{}, false
	}
	select {
	case p := <-answer:
		return p, true
	case <-s.done:
		return permit{}, false
	}
}

// work waits for the service time. It ends early when the caller cancels, or
// when the deadline that came with the call has passed.
func (s *Server) work(ctx context.Context, p permit) bool {
	if _, fails := p.fault.(FailFast); fails {
		return true
	}
	t := time.NewTimer(p.work)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, p permit, body []byte) {
	switch f := p.fault.(type) {
	case FailFast:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case Reset:
		closeConnection(w)
		return
	case Cut:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
		_, _ = w.Write(body)
		_ = http.NewResponseController(w).Flush()
		closeConnection(w)
		return
	case Late:
		select {
		case <-time.After(f.Delay):
		case <-r.Context().Done():
			return
		}
	case Healthy, Straggle, Lie, Chill, Reboot, Drain, ShedAll:
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set(HeaderCall, r.Header.Get(HeaderCall))
	w.Header().Set(HeaderRun, fmt.Sprintf("%s-%d", s.Config.Name, time.Now().UnixNano()))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func closeConnection(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = c.Close()
	}
}

// serveProbe answers the load as it was a while ago, and takes its time.
func (s *Server) serveProbe(w http.ResponseWriter, r *http.Request) {
	answer := make(chan int, 1)
	if !s.post(beginProbe{answer: answer}) {
		return
	}
	select {
	case <-time.After(probeCost):
	case <-r.Context().Done():
		return
	}
	writeJSON(w, struct {
		Load int `json:"load"`
	}{<-answer})
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

// Parse gives the fault that a request names.
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
		return Cut{}, nil
	case "late":
		return Late{Delay: time.Duration(f.DelayMS) * time.Millisecond}, nil
	case "lie":
		return Lie{}, nil
	case "chill":
		return Chill{}, nil
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
	var f FaultRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault, err := f.Parse()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// A reboot closes this connection too, so the answer goes first.
	writeJSON(w, f)
	_ = http.NewResponseController(w).Flush()
	s.Set(fault)
}

// announceAll announces the server again and again, each time to the next
// platform address, as the platform's balancer would spread it.
func (s *Server) announceAll(ctx context.Context) {
	ticker := time.NewTicker(time.Duration(s.Config.AnnounceMS) * time.Millisecond)
	defer ticker.Stop()
	for i := 0; ; i++ {
		if err := s.announce(ctx, i); err != nil {
			// Another instance may take it.
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
	answer := make(chan membership.Announcement, 1)
	if !s.post(announceDue{answer: answer}) {
		return context.Canceled
	}
	a := <-answer
	if a.BootID == "" {
		return nil
	}
	data, err := json.Marshal(a)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	url := "http://" + s.Config.Platforms[turn%len(s.Config.Platforms)] + "/v1/announce"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("announce: status %d", response.StatusCode)
	}
	return nil
}
