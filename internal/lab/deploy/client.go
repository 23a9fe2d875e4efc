package deploy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
)

const (
	controlTimeout = 5 * time.Second
	maxControlBody = 1 << 20
)

// callJSON sends in as JSON to a control endpoint and decodes the response into out. Both
// may be nil.
func callJSON(ctx context.Context, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBody))
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return errkind.New(errkind.Unavailable, fmt.Sprintf("%s returned status %d: %s", url, resp.StatusCode, bytes.TrimSpace(text)),
			"read the log of the process")
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(text, out)
}
