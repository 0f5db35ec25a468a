package httpjson

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// errStalled is the cause with which a call is cancelled whose response makes no progress.
var errStalled = errors.New("no byte of the response for too long")

// Progress bounds a call by the time without progress instead of by its whole duration, for responses whose size makes
// them take long.
type Progress struct {
	// StallLimit is the time without a byte of the response after which the call is given up.
	StallLimit time.Duration
	// OnStatus, if not nil, is called with the status of the response before its body is read.
	OnStatus func(status int)
}

// CallWithProgress is Call, bounded by the progress as well as by Options.Timeout.
func (c *Client) CallWithProgress(ctx context.Context, path string, in, out any, progress Progress) error {
	return c.doWithProgress(ctx, http.MethodPost, path, in, out, progress)
}

// FetchWithProgress is Fetch, bounded by the progress as well as by Options.Timeout.
func (c *Client) FetchWithProgress(ctx context.Context, path string, out any, progress Progress) error {
	return c.doWithProgress(ctx, http.MethodGet, path, nil, out, progress)
}

func (c *Client) doWithProgress(ctx context.Context, method, path string, in, out any, progress Progress) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(progress.StallLimit, func() { cancel(errStalled) })
	defer timer.Stop()
	return c.do(ctx, method, path, in, out, func(response *http.Response) {
		timer.Reset(progress.StallLimit)
		if progress.OnStatus != nil {
			progress.OnStatus(response.StatusCode)
		}
		response.Body = &progressBody{ReadCloser: response.Body, timer: timer, limit: progress.StallLimit}
	})
}

// progressBody resets the timer with each read that brings bytes.
type progressBody struct {
	io.ReadCloser
	timer *time.Timer
	limit time.Duration
}

func (b *progressBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if n > 0 {
		b.timer.Reset(b.limit)
	}
	return n, err
}
