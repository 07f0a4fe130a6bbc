package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// Order kinds.
const (
	orderLoad   = "load"
	orderUnload = "unload"
	orderRole   = "role"
)

// Order is a request to load or unload a model, or to change the engine's role.
type Order struct {
	Order string `json:"order"`
	Model string `json:"model"`
	// Role is the new role; if it is empty, the role is read from Model.
	Role string `json:"role"`
	// Fence is the sender's fencing number.
	Fence uint64 `json:"fence"`
}

// State is the engine's state as it reports it to callers.
type State struct {
	Models  []string `json:"models"`
	Role    string   `json:"role"`
	Leaving bool     `json:"leaving"`
	Loading []string `json:"loading"`
	Fence   uint64   `json:"fence"`
}

// servingState is the part of the engine's state that orders change.
type servingState struct {
	// anyModel means that every model is served.
	anyModel bool
	models   []string
	loading  []string
	role     string
	fence    uint64
}

func newServingState(models []string) servingState {
	return servingState{anyModel: len(models) == 0, models: slices.Clone(models)}
}

func (c *servingState) serves(model string) bool {
	return c.anyModel || model == "" || slices.Contains(c.models, model)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFence && o.Fence < e.serving.fence {
		http.Error(w, "order carries an old fencing number", http.StatusConflict)
		return
	}
	e.serving.fence = max(e.serving.fence, o.Fence)
	switch o.Order {
	case orderLoad:
		e.loadModel(o.Model)
	case orderUnload:
		e.serving.anyModel = false
		e.serving.models = withoutName(e.serving.models, o.Model)
	case orderRole:
		e.serving.role = o.Role
		if o.Role == "" {
			e.serving.role = o.Model
		}
	default:
		http.Error(w, "unknown order", http.StatusBadRequest)
	}
}

func (e *Engine) loadModel(model string) {
	if slices.Contains(e.serving.models, model) || slices.Contains(e.serving.loading, model) {
		return
	}
	e.serving.loading = append(e.serving.loading, model)
	time.AfterFunc(e.scaleTime(e.options.LoadTime), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.serving.loading = withoutName(e.serving.loading, model)
		e.serving.models = append(e.serving.models, model)
	})
}

func withoutName(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == name })
}

func (e *Engine) scaleTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.options.TimeScale)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, State{
		Models:  append([]string{}, e.serving.models...),
		Role:    e.serving.role,
		Leaving: e.leaving,
		Loading: append([]string{}, e.serving.loading...),
		Fence:   e.serving.fence,
	})
}

// SpeedSetting is the body of POST /admin/speed.
type SpeedSetting struct {
	Speed float64 `json:"speed"`
}

func (e *Engine) serveSpeed(w http.ResponseWriter, r *http.Request) {
	var s SpeedSetting
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil || s.Speed <= 0 {
		http.Error(w, "speed must be a number above 0", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.speed = s.Speed
}

func (e *Engine) serveLeaving(w http.ResponseWriter, r *http.Request) {
	var s State
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = s.Leaving
	if s.Leaving {
		e.options.Recorder.Leaving()
	}
}
