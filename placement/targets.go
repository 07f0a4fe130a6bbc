package placement

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// maxStateBytes is the maximum size of a target's state response.
const maxStateBytes = 1 << 20

// Targets sends orders to targets and reads their states.
type Targets interface {
	State(ctx context.Context, address string) (TargetState, error)
	// Order returns an error of kind conflict if the target has received a higher
	// fencing number.
	Order(ctx context.Context, address string, order Order, fence uint64) error
}

// HTTPTargets implements Targets over HTTP.
type HTTPTargets struct {
	Client *http.Client
}

// wireOrder is the JSON encoding of an order.
type wireOrder struct {
	Order OrderKind `json:"order"`
	Model string    `json:"model"`
	Fence uint64    `json:"fence"`
}

// wireState is the JSON encoding of a target's state.
type wireState struct {
	Models  []string `json:"models"`
	Loading []string `json:"loading"`
	Role    string   `json:"role"`
	Leaving bool     `json:"leaving"`
	Fence   uint64   `json:"fence"`
}

// State implements Targets with GET /v1/state.
func (h HTTPTargets) State(ctx context.Context, address string) (TargetState, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/state", nil)
	if err != nil {
		return TargetState{}, err
	}
	response, err := h.Client.Do(request)
	if err != nil {
		return TargetState{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return TargetState{}, fmt.Errorf("target responded with status %d to a state request", response.StatusCode)
	}
	var state wireState
	err = json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&state)
	return TargetState(state), err
}

// Order implements Targets with POST /v1/orders.
func (h HTTPTargets) Order(ctx context.Context, address string, order Order, fence uint64) error {
	body, err := json.Marshal(wireOrder{Order: order.Kind, Model: order.Model, Fence: fence})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := h.Client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusConflict:
		return fault.New(schema.ErrorKind_ERROR_KIND_CONFLICT,
			"the target has seen a higher fencing number", "leave the service to its newer controller")
	case response.StatusCode >= http.StatusMultipleChoices:
		return fmt.Errorf("target responded with status %d to an order", response.StatusCode)
	default:
		return nil
	}
}
