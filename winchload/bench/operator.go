package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

const maxResponseSize = 64 << 10

// checkHealth returns nil once the host's health check succeeds.
func (d *Deployment) checkHealth(ctx context.Context, host hostSettings) error {
	_, err := d.call(ctx, http.MethodGet, "http://"+host.Operator.Address+"/healthz", "", nil)
	return err
}

// checkServing returns nil once the host accepts a key of the experiment and lists all of
// the experiment's models.
func (d *Deployment) checkServing(ctx context.Context, host hostSettings) error {
	secret := d.options.Experiment.Organisations[0].Secret()
	body, err := d.call(ctx, http.MethodGet, "http://"+host.Caller.Address+"/v1/models", secret, nil)
	if err != nil {
		return err
	}
	for _, class := range d.options.Experiment.Classes {
		if class.Model != "" && !strings.Contains(body, `"`+class.Model+`"`) {
			return fmt.Errorf("model %s is not served yet", class.Model)
		}
	}
	return nil
}

// commitNote saves the note in the directory and commits it at the first host.
func (d *Deployment) commitNote(ctx context.Context, added note) error {
	encoded, err := json.MarshalIndent(added, "", " ")
	if err != nil {
		return fmt.Errorf("encode note: %w", err)
	}
	if _, err := d.writeJSON("note", added); err != nil {
		return err
	}
	_, err = d.call(ctx, http.MethodPost, "http://"+d.settings[0].Operator.Address+"/operator/notes", operatorSecret, encoded)
	if err != nil {
		return fmt.Errorf("commit note: %w", err)
	}
	return nil
}

func (d *Deployment) call(ctx context.Context, method, url, secret string, body []byte) (string, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return "", fmt.Errorf("create request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	if secret != "" {
		request.Header.Set("Authorization", "Bearer "+secret)
	}
	response, err := d.http.Do(request)
	if err != nil {
		return "", fmt.Errorf("call %s: %w", url, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err != nil {
		return "", fmt.Errorf("read response of %s: %w", url, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return "", fmt.Errorf("call %s: status %d: %s", url, response.StatusCode, text)
	}
	return string(text), nil
}
