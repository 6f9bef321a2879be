package upstream

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/placement"
)

const (
	// probeTimeout bounds a probe. An upstream that tells its load answers at
	// once; a lost packet is sent again after some 200 ms.
	probeTimeout = 400 * time.Millisecond
	// maxHealthBody bounds the body of a probe's answer in bytes.
	maxHealthBody = 4 << 10
)

// Probe asks an upstream for its health and its load.
func (c *Conn) Probe(ctx context.Context, names header.Names, id, host, path string) placement.Probed {
	failed := placement.Probed{Failed: true}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if err := c.SetDeadline(time.Now().Add(probeTimeout)); err != nil {
		c.broken = true
		return failed
	}
	if _, err := io.WriteString(c.Conn, "GET "+path+" HTTP/1.1\r\nHost: "+host+"\r\n\r\n"); err != nil {
		c.broken = true
		return failed
	}
	//nolint:bodyclose // The body is read to its end, or the connection closed.
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.broken = true
		return failed
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxHealthBody+1))
	if err != nil || len(body) > maxHealthBody || c.reader.Buffered() > 0 || response.Close {
		c.broken = true
	}
	c.rest(response.Header.Get("Keep-Alive"))
	if err != nil || response.Header.Get(names.Upstream) != id {
		c.broken = true
		return failed
	}
	cold, err := strconv.ParseFloat(response.Header.Get(names.Cold), 64)
	if err != nil {
		// The header is there only while the upstream is cold.
		cold = 0
	}
	return placement.Probed{
		Load:    header.ParseLoad(response.Header.Get(names.Load)),
		Healthy: response.StatusCode == http.StatusOK,
		Cold:    time.Duration(cold * float64(time.Millisecond)),
	}
}
