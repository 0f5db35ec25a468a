package engine

import (
	"encoding/json"
	"fmt"

	"github.com/arbutuswinch/winch"
)

type wireLoad struct {
	Model   string
	Adapter string
	Version string
}

type orderCall struct {
	OrderID       string
	FencingNumber int64
	Load          []wireLoad
	Role          string `json:",omitempty"`
}

type wireIntent struct {
	OrderID       string
	FencingNumber int64
	WriteID       string
	Endpoint      string
	Load          []wireLoad
	Role          string
}

func encodeLoad(load []winch.EngineLoad) []wireLoad {
	encoded := make([]wireLoad, 0, len(load))
	for _, one := range load {
		encoded = append(encoded, wireLoad{Model: string(one.Model), Adapter: string(one.Adapter), Version: string(one.Version)})
	}
	return encoded
}

func encodeOrder(id winch.OrderID, number winch.FencingNumber, order winch.EngineOrder) ([]byte, error) {
	encoded, err := json.Marshal(orderCall{
		OrderID: string(id), FencingNumber: int64(number), Load: encodeLoad(order.Load), Role: order.Role,
	})
	if err != nil {
		return nil, fmt.Errorf("encode engine order: %w", err)
	}
	return encoded, nil
}

func encodeIntent(id winch.OrderID, number winch.FencingNumber, write winch.WriteID, order winch.EngineOrder) ([]byte, error) {
	encoded, err := json.Marshal(wireIntent{
		OrderID:       string(id),
		FencingNumber: int64(number),
		WriteID:       string(write),
		Endpoint:      string(order.Endpoint),
		Load:          encodeLoad(order.Load),
		Role:          order.Role,
	})
	if err != nil {
		return nil, fmt.Errorf("encode intent: %w", err)
	}
	return encoded, nil
}

// decodeIntent returns the number and the write of a kept intent.
func decodeIntent(value []byte) (winch.FencingNumber, winch.WriteID, error) {
	wire := wireIntent{}
	if err := json.Unmarshal(value, &wire); err != nil {
		return 0, "", fmt.Errorf("decode intent: %w: %w", winch.ErrInvalid, err)
	}
	return winch.FencingNumber(wire.FencingNumber), winch.WriteID(wire.WriteID), nil
}
