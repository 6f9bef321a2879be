package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/service"
)

// Client sends requests to the administration API of an instance. It returns an
// [Error] for a refused request.
type Client struct {
	// Address is the IP:port of the API.
	Address string
	// Token is the bearer token. It is empty for a loopback address when the
	// settings have no tokens.
	Token string
}

// ChangeOptions are the parameters of a change besides its content.
type ChangeOptions struct {
	ChangeID string
	// WaitMS limits the wait until the change is in force, in milliseconds. Zero
	// means that the response comes as soon as the change is committed.
	WaitMS int64
}

// Apply replaces a service document, or creates it.
func (c Client) Apply(ctx context.Context, d service.Document, o ChangeOptions) (Change, error) {
	var change Change
	err := c.do(ctx, http.MethodPut, "/v1/services/"+url.PathEscape(d.Name), d, o, &change)
	return change, err
}

// Order takes a failure domain out of service or back in (kind "domains", order
// "out" or "in"), or drains a server or ends that (kind "servers", order "drain"
// or "undrain").
func (c Client) Order(ctx context.Context, kind, name, order string, o ChangeOptions) (Change, error) {
	var change Change
	path := fmt.Sprintf("/v1/%s/%s/%s", kind, url.PathEscape(name), order)
	err := c.do(ctx, http.MethodPost, path, nil, o, &change)
	return change, err
}

// Document reads a service document.
func (c Client) Document(ctx context.Context, name string) (service.Document, error) {
	var d service.Document
	err := c.do(ctx, http.MethodGet, "/v1/services/"+url.PathEscape(name), nil, ChangeOptions{}, &d)
	return d, err
}

// Documents reads all service documents.
func (c Client) Documents(ctx context.Context) (Documents, error) {
	var d Documents
	err := c.do(ctx, http.MethodGet, "/v1/services", nil, ChangeOptions{}, &d)
	return d, err
}

// Status reads the state of the system.
func (c Client) Status(ctx context.Context) (peer.StatusResponse, error) {
	var s peer.StatusResponse
	err := c.do(ctx, http.MethodGet, "/v1/status", nil, ChangeOptions{}, &s)
	return s, err
}

func (c Client) do(ctx context.Context, method, path string, body any, options ChangeOptions, result any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s %s at %s: %w", method, path, c.Address, err)
		}
	}()
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		reader = bytes.NewReader(data)
	}
	u := url.URL{Scheme: "http", Host: c.Address, Path: path}
	if options.ChangeID != "" {
		u.RawQuery = "wait_ms=" + strconv.FormatInt(options.WaitMS, 10)
	}
	request, err := http.NewRequestWithContext(ctx, method, u.String(), reader)
	if err != nil {
		return err
	}
	if options.ChangeID != "" {
		request.Header.Set(HeaderChangeID, options.ChangeID)
	}
	if c.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.Token)
	}
	return roundTrip(request, result)
}

// maxResponseBytes limits the body of a response.
const maxResponseBytes = 64 << 20

// roundTrip sends a request and decodes its response into result. For a status
// other than 200 it returns the [Error] of the response, or the body as text if
// that is not JSON.
func roundTrip(request *http.Request, result any) error {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode == http.StatusOK {
		return json.Unmarshal(data, result)
	}
	e := &Error{Status: response.StatusCode}
	if err := json.Unmarshal(data, e); err != nil {
		return fmt.Errorf("status %d: %s", response.StatusCode, data)
	}
	return e
}
