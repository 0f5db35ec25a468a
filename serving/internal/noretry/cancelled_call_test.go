package noretry

import (
	"context"
	"net/http"
	"testing"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/serving/internal/slowtest"
)

func TestCancelledCallsDoNotArrive(t *testing.T) {
	transport := New(Options{})
	slowtest.AssertCancelledCallsDoNotArrive(t, func(ctx context.Context, address string, body []byte) error {
		response, err := transport.Send(ctx, "http://"+address+"/", winch.Call{Method: http.MethodPost, Body: body}, nil)
		if err != nil {
			return err
		}
		return response.Body.Close()
	})
}
