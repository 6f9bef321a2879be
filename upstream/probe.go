package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/placement"
)

const (
	// probeTimeout is the limit for a probe. An upstream that reports its load
	// answers immediately. A lost packet is sent again after about 200 ms, which
	// the timeout allows for.
	probeTimeout = 400 * time.Millisecond
	// maxHealthBodyBytes is the maximum size of the body of a probe's response.
	// After a longer one the connection is not used again.
	maxHealthBodyBytes = 4 << 10
)

// Probe requests the health and the load of an upstream, and waits up to
// probeTimeout. It fails unless the response carries the upstream's ID.
// Cancelling the context closes the connection.
func (c *Conn) Probe(ctx context.Context, names header.Names, id, host, path string) placement.ProbeResult {
	failed := placement.ProbeResult{Failed: true}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if err := c.SetDeadline(time.Now().Add(probeTimeout)); err != nil {
		c.broken = true
		return failed
	}
	c.used = true
	if _, err := io.WriteString(c.Conn, "GET "+path+" HTTP/1.1\r\nHost: "+host+"\r\n\r\n"); err != nil {
		c.broken = true
		return failed
	}
	//nolint:bodyclose // readProbeResponse reads the body to its end, or the connection is closed.
	response, err := c.readProbeResponse(names, id)
	if err != nil || response.Header.Get(names.Upstream) != id {
		c.broken = true
		return failed
	}
	if c.reader.Buffered() > 0 || response.Close {
		c.broken = true
	}
	c.markIdle(response.Header.Get("Keep-Alive"))
	cold, err := strconv.ParseFloat(response.Header.Get(names.Cold), 64)
	if err != nil {
		// The upstream sends the header only while it is cold.
		cold = 0
	}
	return placement.ProbeResult{
		Load:    header.ParseLoad(response.Header.Get(names.Load)),
		Limit:   names.ParseLimit(response.Header),
		Healthy: response.StatusCode == http.StatusOK,
		Cold:    time.Duration(cold * float64(time.Millisecond)),
	}
}

// readProbeResponse reads the response to a probe with its body. It skips interim responses
// and late copies of the responses to earlier requests: those have an ID, and a probe has none.
func (c *Conn) readProbeResponse(names header.Names, id string) (*http.Response, error) {
	for range maxSkippedResponses + 1 {
		response, err := c.readHead(names, http.MethodGet, id)
		if err != nil {
			return nil, err
		}
		if isInterim(response) {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxHealthBodyBytes+1))
		if err != nil {
			return nil, err
		}
		isCopy := response.Header.Get(names.RequestID) != ""
		if isCopy || len(body) > maxHealthBodyBytes {
			c.broken = true
		}
		if !isCopy {
			return response, nil
		}
	}
	return nil, errNoProbeResponse
}

// errNoProbeResponse reports that other responses arrived in place of a probe's.
var errNoProbeResponse = errors.New("no response to the probe")
