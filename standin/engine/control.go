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

// Order asks the engine to load or unload a model, or to change its role.
type Order struct {
	Order string `json:"order"`
	Model string `json:"model"`
	// Role is the new role; empty takes it from Model.
	Role  string `json:"role"`
	Fence uint64 `json:"fence"`
}

// State is what the engine tells of itself.
type State struct {
	Models  []string `json:"models"`
	Role    string   `json:"role"`
	Leaving bool     `json:"leaving"`
	Loading []string `json:"loading"`
	Fence   uint64   `json:"fence"`
}

// control is the state that orders change.
type control struct {
	// any means that every model is served.
	any     bool
	models  []string
	loading []string
	role    string
	fence   uint64
}

func newControl(models []string) control {
	return control{any: len(models) == 0, models: slices.Clone(models)}
}

func (c *control) serves(model string) bool {
	return c.any || model == "" || slices.Contains(c.models, model)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFence && o.Fence < e.control.fence {
		http.Error(w, "order carries an old fencing number", http.StatusConflict)
		return
	}
	e.control.fence = max(e.control.fence, o.Fence)
	switch o.Order {
	case orderLoad:
		e.loadModel(o.Model)
	case orderUnload:
		e.control.any = false
		e.control.models = without(e.control.models, o.Model)
	case orderRole:
		e.control.role = o.Role
		if o.Role == "" {
			e.control.role = o.Model
		}
	default:
		http.Error(w, "unknown order", http.StatusBadRequest)
	}
}

func (e *Engine) loadModel(model string) {
	if slices.Contains(e.control.models, model) || slices.Contains(e.control.loading, model) {
		return
	}
	e.control.loading = append(e.control.loading, model)
	time.AfterFunc(e.scaled(e.options.LoadTime), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.control.loading = without(e.control.loading, model)
		e.control.models = append(e.control.models, model)
	})
}

func without(list []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == name })
}

func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.options.TimeScale)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, State{
		Models:  append([]string{}, e.control.models...),
		Role:    e.control.role,
		Leaving: e.leaving,
		Loading: append([]string{}, e.control.loading...),
		Fence:   e.control.fence,
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
