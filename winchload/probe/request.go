package probe

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

func newRequest(ctx context.Context, method, url, secret string, in any) (*http.Request, error) {
	body := []byte(nil)
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
		body = encoded
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
