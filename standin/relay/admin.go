package relay

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
)

// AdminHandler serves POST /admin/cut and POST /admin/heal, both with a Link as
// JSON body, and GET /admin/cuts.
func (r *Relay) AdminHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/admin/cut", handleLink(r.Cut)).Methods(http.MethodPost)
	router.HandleFunc("/admin/heal", handleLink(r.Heal)).Methods(http.MethodPost)
	router.HandleFunc("/admin/cuts", r.serveCuts).Methods(http.MethodGet)
	return router
}

func handleLink(apply func(Link)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var l Link
		if err := json.NewDecoder(req.Body).Decode(&l); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		apply(l)
	}
}

func (r *Relay) serveCuts(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	json.NewEncoder(w).Encode(append([]Link{}, r.cuts...))
}
