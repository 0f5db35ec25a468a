package billing

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
)

const reportPath = "/v1/usage"

type reportCall struct {
	Shard         int
	Window        time.Time
	Reporter      string
	FencingNumber int64
	Figures       []wireFigure
}

type wireFigure struct {
	Organisation string
	Requests     int64
	InputTokens  int64
	OutputTokens int64
	Adjustment   bool
}

// NativeProtocol implements winch.UsageProtocol with the JSON protocol that arbutuswinch defines. Package
// platform/duty implements the one of the users' platform.
type NativeProtocol struct {
	// Address is the IP address and port of the usage API.
	Address string
}

var _ winch.UsageProtocol = NativeProtocol{}

// Encode returns the call that reports the window.
func (o NativeProtocol) Encode(report winch.UsageReport) (winch.FencedCall, error) {
	call := reportCall{
		Shard:         int(report.Shard),
		Window:        report.Window,
		Reporter:      string(report.Holder),
		FencingNumber: int64(report.Number),
		Figures:       make([]wireFigure, 0, len(report.Figures)),
	}
	for _, figure := range report.Figures {
		call.Figures = append(call.Figures, wireFigure{
			Organisation: string(figure.Organisation),
			Requests:     figure.Requests,
			InputTokens:  int64(figure.InputTokens),
			OutputTokens: int64(figure.OutputTokens),
			Adjustment:   figure.Adjustment,
		})
	}
	encoded, err := json.Marshal(call)
	if err != nil {
		return winch.FencedCall{}, fmt.Errorf("encode usage report: %w", err)
	}
	return winch.FencedCall{Address: o.Address, Path: reportPath, Body: encoded, Number: report.Number}, nil
}
