package billing

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/arbutuswinch/winch"
	"github.com/arbutuswinch/winch/usage/keyvalue"
)

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

func encodeReport(shard winch.Shard, reporter winch.HostID, number winch.FencingNumber, seal keyvalue.Seal) ([]byte, error) {
	call := reportCall{
		Shard:         int(shard),
		Window:        seal.Window.Start(),
		Reporter:      string(reporter),
		FencingNumber: int64(number),
		Figures:       make([]wireFigure, 0, len(seal.Figures)),
	}
	for _, figure := range seal.Figures {
		call.Figures = append(call.Figures, wireFigure{
			Organisation: string(figure.Organisation),
			Requests:     figure.Counts.Requests,
			InputTokens:  int64(figure.Counts.InputTokens),
			OutputTokens: int64(figure.Counts.OutputTokens),
			Adjustment:   figure.Adjustment,
		})
	}
	encoded, err := json.Marshal(call)
	if err != nil {
		return nil, fmt.Errorf("encode usage report: %w", err)
	}
	return encoded, nil
}
