package terminal

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/oriolepost/oriolepost/platform"
)

// sendCall sends a call to a control instance and returns the body of its response, of at
// most limit bytes. A response with another status than 200 is an error.
func sendCall(ctx context.Context, address string, call platform.Call, limit int64) (body []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("call %s at %s: %w", call.Path, address, err)
		}
	}()
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(response.Body, limit))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(body)))
	}
	return body, err
}
