package front

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/topology"
)

const (
	bearerPrefix = "Bearer "
	maxKeyBytes  = 512
)

type keyHash [sha256.Size]byte

// index answers lookups by key and by model for one configuration.
type index struct {
	config *schema.Config
	teams  map[keyHash]teamKey
	// services holds the first service that lists a model.
	services map[string]*schema.Service
	models   []Model
}

type teamKey struct {
	hash keyHash
	team *schema.Team
}

// Model is one line of the list of models.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the answer to GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

func newIndex(config *schema.Config) *index {
	x := &index{
		config:   config,
		teams:    make(map[keyHash]teamKey),
		services: make(map[string]*schema.Service),
		models:   []Model{},
	}
	for _, team := range config.GetTeams() {
		x.addTeam(team)
	}
	for _, service := range config.GetServices() {
		x.addModels(service)
	}
	return x
}

func (x *index) addTeam(team *schema.Team) {
	for _, text := range team.GetKeyHashes() {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		hash := keyHash(raw)
		x.teams[hash] = teamKey{hash, team}
	}
}

func (x *index) addModels(service *schema.Service) {
	if service.GetKind() != schema.ServiceKind_SERVICE_KIND_ENGINE {
		return
	}
	for _, name := range service.GetModels() {
		if _, taken := x.services[name]; taken {
			continue
		}
		x.services[name] = service
		x.models = append(x.models, Model{ID: name, Object: "model", OwnedBy: service.GetName()})
	}
}

// indexFor returns the index of the snapshot's configuration.
func (f *Front) indexFor(s *topology.Snapshot) *index {
	x := f.index.Load()
	if x != nil && x.config == s.Config {
		return x
	}
	x = newIndex(s.Config)
	f.index.Store(x)
	return x
}

// authenticate returns the team of the request's bearer key. The lookup goes
// by the key's hash, so its timing tells nothing about the keys.
func (x *index) authenticate(r *http.Request) (*schema.Team, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || key == "" || len(key) > maxKeyBytes {
		return nil, unauthenticated("no bearer key came with the request")
	}
	hash := keyHash(sha256.Sum256([]byte(key)))
	entry, ok := x.teams[hash]
	if !ok || subtle.ConstantTimeCompare(entry.hash[:], hash[:]) != 1 {
		return nil, unauthenticated("the bearer key belongs to no team")
	}
	return entry.team, nil
}

func unauthenticated(message string) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_UNAUTHENTICATED, message,
		"send Authorization: Bearer with the team's key").NotRun()
}
