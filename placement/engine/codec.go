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
	// Role is the role that the engine takes, or empty to keep its role.
	Role string
}

func encodeOrder(id winch.OrderID, number winch.FencingNumber, order winch.EngineOrder) ([]byte, error) {
	call := orderCall{OrderID: string(id), FencingNumber: int64(number), Role: order.Role}
	for _, load := range order.Load {
		call.Load = append(call.Load, wireLoad{Model: string(load.Model), Adapter: string(load.Adapter), Version: string(load.Version)})
	}
	encoded, err := json.Marshal(call)
	if err != nil {
		return nil, fmt.Errorf("encode engine order: %w", err)
	}
	return encoded, nil
}
